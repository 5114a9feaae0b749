//! Weighted max-min division: nobody gets more than it asks, and who gets less than that gets as much by weight as
//! anybody.

/// What one asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    pub wants: u64,
    pub weight: u64,
}

/// Divides so much in whole grains. Where grains are fewer than those who ask, `turn` decides who goes without, and
/// the next turn others do.
pub fn divide(whole: u64, wishes: &[Demand], grain: u64, turn: usize) -> Vec<u64> {
    let grain = grain.max(1);
    let mut given = vec![0; wishes.len()];
    let weight = |at: &usize| u128::from(wishes[*at].weight.max(1));
    // By what each asks for its weight, least first: who asks least is served whole, and what it leaves goes to all
    // that follow.
    let mut order: Vec<usize> = (0..wishes.len()).filter(|at| wishes[*at].wants > 0).collect();
    order.sort_by(|a, b| {
        let [a_by, b_by] =
            [(a, b), (b, a)].map(|(one, other)| u128::from(wishes[*one].wants) * weight(other));
        a_by.cmp(&b_by).then(a.cmp(b))
    });
    let (mut left, mut weights) = (whole, order.iter().map(weight).sum::<u128>());
    for at in &order {
        let fair = (u128::from(left) * weight(at) / weights.max(1)) as u64;
        weights -= weight(at);
        given[*at] = wishes[*at].wants.min(fair);
        left -= given[*at];
    }
    // Only now whole grains: rounded on the way, what is left would always be the last ones'.
    for part in &mut given {
        left += *part % grain;
        *part -= *part % grain;
    }
    let count = order.len().max(1);
    for nth in 0..order.len() {
        let at = order[(nth + turn) % count];
        let lacks = wishes[at].wants - given[at];
        if lacks >= grain && left >= grain {
            given[at] += grain;
            left -= grain;
        }
    }
    given
}
