//! Who is to vote: an odd number of them, so that one more never makes the fleet need one more; replaced by one step in
//! which what they were and what they will be both agree.

/// One that votes, or may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    pub replica_id: u64,
    pub location: u16,
    /// Heard not long ago. One that votes and is not is replaced.
    pub there: bool,
}

/// Seats that come to vote and seats that no longer do; both at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    pub come: Vec<u64>,
    pub go: Vec<u64>,
}

/// What to do, if anything. `own` leads, and stays. `free` are those that may come to vote, all there.
///
/// One that is gone is replaced by one that is there, in one step: if it came first and the other went after, for a
/// while more would be needed than are left. From one voter on two come at once, as two need both.
pub fn plan_membership_change(
    own: u64,
    voters: &[Replica],
    free: &[Replica],
    wanted: usize,
) -> Option<MembershipChange> {
    let most = if wanted.is_multiple_of(2) { wanted.max(2) - 1 } else { wanted };
    let mut stay: Vec<Replica> = voters.to_vec();
    let mut membership_change = MembershipChange::default();
    let mut left: Vec<Replica> = free.to_vec();
    // Who has been silent goes first, then one of a location that has most of them.
    let leaves = |stay: &[Replica]| {
        let crowd =
            |replica_id: &Replica| stay.iter().filter(|other| other.location == replica_id.location).count();
        stay.iter()
            .copied()
            .filter(|replica_id| replica_id.replica_id != own)
            .max_by_key(|replica_id| (!replica_id.there, crowd(replica_id), replica_id.replica_id))
    };
    // One of a location that has fewest comes first, so that a lost location is never most of them.
    let comes = |stay: &[Replica], left: &mut Vec<Replica>| {
        let crowd =
            |replica_id: &Replica| stay.iter().filter(|other| other.location == replica_id.location).count();
        let next = (0..left.len()).min_by_key(|at| (crowd(&left[*at]), left[*at].replica_id))?;
        Some(left.swap_remove(next))
    };
    let drop = |stay: &mut Vec<Replica>, membership_change: &mut MembershipChange, replica_id: Replica| {
        stay.retain(|other| other.replica_id != replica_id.replica_id);
        membership_change.go.push(replica_id.replica_id);
    };
    while stay.len() > most {
        let replica_id = leaves(&stay)?;
        drop(&mut stay, &mut membership_change, replica_id);
    }
    if membership_change.go.is_empty() {
        match leaves(&stay).filter(|replica_id| !replica_id.there) {
            Some(gone) => {
                let mut rest = stay.clone();
                rest.retain(|replica_id| replica_id.replica_id != gone.replica_id);
                match comes(&rest, &mut left) {
                    Some(new) => {
                        drop(&mut stay, &mut membership_change, gone);
                        membership_change.come.push(new.replica_id);
                    }
                    None if stay.len().is_multiple_of(2) => drop(&mut stay, &mut membership_change, gone),
                    None => {}
                }
            }
            None if stay.len() < most => {
                let lacks = if stay.len().is_multiple_of(2) { 1 } else { 2 };
                while membership_change.come.len() < lacks
                    && left.len() + membership_change.come.len() >= lacks
                {
                    let new = comes(&stay, &mut left)?;
                    stay.push(new);
                    membership_change.come.push(new.replica_id);
                }
            }
            None => {}
        }
    }
    Some(membership_change).filter(|membership_change| *membership_change != MembershipChange::default())
}
