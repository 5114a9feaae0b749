//! Who is to vote: an odd number of them, so that one more never makes the fleet need one more; replaced by one step in
//! which what they were and what they will be both agree.

/// One that votes, or may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    pub seat: u64,
    pub location: u16,
    /// Heard not long ago. One that votes and is not is replaced.
    pub there: bool,
}

/// Seats that come to vote and seats that no longer do; both at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reseating {
    pub come: Vec<u64>,
    pub go: Vec<u64>,
}

/// What to do, if anything. `own` leads, and stays. `free` are those that may come to vote, all there.
///
/// One that is gone is replaced by one that is there, in one step: if it came first and the other went after, for a
/// while more would be needed than are left. From one voter on two come at once, as two need both.
pub fn reseat(own: u64, voters: &[Seat], free: &[Seat], wanted: usize) -> Option<Reseating> {
    let most = if wanted.is_multiple_of(2) { wanted.max(2) - 1 } else { wanted };
    let mut stay: Vec<Seat> = voters.to_vec();
    let mut reseating = Reseating::default();
    let mut left: Vec<Seat> = free.to_vec();
    // Who has been silent goes first, then one of a location that has most of them.
    let leaves = |stay: &[Seat]| {
        let crowd = |seat: &Seat| stay.iter().filter(|other| other.location == seat.location).count();
        stay.iter()
            .copied()
            .filter(|seat| seat.seat != own)
            .max_by_key(|seat| (!seat.there, crowd(seat), seat.seat))
    };
    // One of a location that has fewest comes first, so that a lost location is never most of them.
    let comes = |stay: &[Seat], left: &mut Vec<Seat>| {
        let crowd = |seat: &Seat| stay.iter().filter(|other| other.location == seat.location).count();
        let next = (0..left.len()).min_by_key(|at| (crowd(&left[*at]), left[*at].seat))?;
        Some(left.swap_remove(next))
    };
    let drop = |stay: &mut Vec<Seat>, reseating: &mut Reseating, seat: Seat| {
        stay.retain(|other| other.seat != seat.seat);
        reseating.go.push(seat.seat);
    };
    while stay.len() > most {
        let seat = leaves(&stay)?;
        drop(&mut stay, &mut reseating, seat);
    }
    if reseating.go.is_empty() {
        match leaves(&stay).filter(|seat| !seat.there) {
            Some(gone) => {
                let mut rest = stay.clone();
                rest.retain(|seat| seat.seat != gone.seat);
                match comes(&rest, &mut left) {
                    Some(new) => {
                        drop(&mut stay, &mut reseating, gone);
                        reseating.come.push(new.seat);
                    }
                    None if stay.len().is_multiple_of(2) => drop(&mut stay, &mut reseating, gone),
                    None => {}
                }
            }
            None if stay.len() < most => {
                let lacks = if stay.len().is_multiple_of(2) { 1 } else { 2 };
                while reseating.come.len() < lacks && left.len() + reseating.come.len() >= lacks {
                    let new = comes(&stay, &mut left)?;
                    stay.push(new);
                    reseating.come.push(new.seat);
                }
            }
            None => {}
        }
    }
    Some(reseating).filter(|reseating| *reseating != Reseating::default())
}
