//! Weighted max-min fair division: nobody gets more than it wants, and whoever gets less gets as much by
//! weight as anybody.

/// What one participant wants of the amount to divide.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightedDemand {
    /// The amount wanted.
    pub amount: u64,
    /// The weight; 0 counts as 1.
    pub weight: u64,
}

impl WeightedDemand {
    fn effective_weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Divides `total` in multiples of `granularity`; returns the share of each demand, in their order. Where
/// there are fewer multiples than demands, `rotation` decides who gets none, and the next rotation skips
/// others.
pub fn max_min_fair_shares(
    total: u64,
    demands: &[WeightedDemand],
    granularity: u64,
    rotation: usize,
) -> Vec<u64> {
    let granularity = granularity.max(1);
    let order = by_demand_per_weight(demands);
    let mut shares = vec![0; demands.len()];
    let mut remaining = fill_in_order(total, demands, &order, &mut shares);
    // Shares are rounded only now: rounding while filling would leave the remainder to the last in the order
    // each time.
    for share in &mut shares {
        remaining += *share % granularity;
        *share -= *share % granularity;
    }
    let count = order.len().max(1);
    for position in 0..order.len() {
        let index = order[(position + rotation) % count];
        let unmet = demands[index].amount - shares[index];
        if unmet >= granularity && remaining >= granularity {
            shares[index] += granularity;
            remaining -= granularity;
        }
    }
    shares
}

/// Indices of the demands that want anything, the smallest demand by weight first.
fn by_demand_per_weight(demands: &[WeightedDemand]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).filter(|index| demands[*index].amount > 0).collect();
    order.sort_by(|a, b| {
        let (first, second) = (&demands[*a], &demands[*b]);
        let [first_ratio, second_ratio] = [(first, second), (second, first)]
            .map(|(own, other)| u128::from(own.amount) * other.effective_weight());
        first_ratio.cmp(&second_ratio).then(a.cmp(b))
    });
    order
}

/// Gives each its demand or its fair part of what remains, whichever is less; what the smaller demands leave
/// goes to those after them. Returns what remains in the end.
fn fill_in_order(total: u64, demands: &[WeightedDemand], order: &[usize], shares: &mut [u64]) -> u64 {
    let mut remaining = total;
    let mut remaining_weight: u128 = order.iter().map(|index| demands[*index].effective_weight()).sum();
    for index in order {
        let weight = demands[*index].effective_weight();
        let fair_part = (u128::from(remaining) * weight / remaining_weight.max(1)) as u64;
        remaining_weight -= weight;
        shares[*index] = demands[*index].amount.min(fair_part);
        remaining -= shares[*index];
    }
    remaining
}
