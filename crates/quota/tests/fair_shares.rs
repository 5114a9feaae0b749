//! Tests of weighted max-min fair division.

use proptest::prelude::*;
use tindoor_quota::{WeightedDemand, max_min_fair_shares};

proptest! {
    /// The shares together never exceed the total, and no share exceeds its demand. A share below its demand
    /// is, relative to its weight, no smaller than any other share, up to rounding.
    #[test]
    fn shares_are_max_min_fair(
        total in 0u64..100_000,
        amounts in prop::collection::vec((0u64..20_000, 1u64..5), 0..40),
        rotation in 0usize..50,
    ) {
        let demands: Vec<WeightedDemand> = amounts
            .iter()
            .map(|(amount, weight)| WeightedDemand { amount: *amount, weight: *weight })
            .collect();
        let shares = max_min_fair_shares(total, &demands, 1, rotation);
        let sum: u64 = shares.iter().sum();
        let total_demand: u64 = demands.iter().map(|demand| demand.amount).sum();
        prop_assert!(sum <= total);
        prop_assert!(sum + demands.len() as u64 >= total.min(total_demand));
        for (demand, share) in demands.iter().zip(&shares) {
            prop_assert!(*share <= demand.amount);
            if *share < demand.amount {
                for (other, other_share) in demands.iter().zip(&shares) {
                    prop_assert!(other_share / other.weight <= share / demand.weight + 2);
                }
            }
        }
    }

    /// If one demand changes, no share changes by more than the change of that demand, up to rounding.
    #[test]
    fn no_share_changes_by_more_than_the_change_of_demand(
        amounts in prop::collection::vec(0u64..20_000, 2..30),
        increase in 0u64..50,
    ) {
        let demand = |amount: &u64| WeightedDemand { amount: *amount, weight: 1 };
        let before = max_min_fair_shares(100_000, &amounts.iter().map(demand).collect::<Vec<_>>(), 1, 0);
        let mut changed = amounts.clone();
        changed[0] += increase;
        let after = max_min_fair_shares(100_000, &changed.iter().map(demand).collect::<Vec<_>>(), 1, 0);
        for (old, new) in before.iter().zip(&after) {
            prop_assert!(old.abs_diff(*new) <= increase + 1);
        }
    }
}
