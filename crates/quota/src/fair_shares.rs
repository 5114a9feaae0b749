//! Weighted max-min fair division: no share exceeds its demand, and every share below its demand is, relative
//! to its weight, at least as large as any other share.

/// The demand of one participant in a division.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightedDemand {
    /// The amount wanted.
    pub amount: u64,
    /// The weight; 0 is treated as 1.
    pub weight: u64,
}

impl WeightedDemand {
    fn effective_weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Divides `total` by weighted max-min fairness, in multiples of `granularity`.
///
/// Returns one share per demand, in the order of `demands`. If there are fewer multiples than demands, some
/// demands get no share: `rotation` selects which ones, and the next `rotation` selects others.
pub fn max_min_fair_shares(
    total: u64,
    demands: &[WeightedDemand],
    granularity: u64,
    rotation: usize,
) -> Vec<u64> {
    let granularity = granularity.max(1);
    let order = indices_by_demand_per_weight(demands);
    let mut shares = vec![0; demands.len()];
    let mut remaining = fill_in_order(total, demands, &order, &mut shares);
    // Shares are rounded only after the division: rounding each share during the division would give the
    // remainder to the last demand in the order every time.
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

/// Indices of the demands above zero, sorted by demand per weight in ascending order.
fn indices_by_demand_per_weight(demands: &[WeightedDemand]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).filter(|index| demands[*index].amount > 0).collect();
    order.sort_by(|a, b| {
        let (first, second) = (&demands[*a], &demands[*b]);
        let [first_ratio, second_ratio] = [(first, second), (second, first)]
            .map(|(own, other)| u128::from(own.amount) * other.effective_weight());
        first_ratio.cmp(&second_ratio).then(a.cmp(b))
    });
    order
}

/// Sets each share to the smaller of its demand and its fair part of the remaining amount, so that what small
/// demands leave is divided among the later, larger ones. Returns the amount that remains at the end.
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
