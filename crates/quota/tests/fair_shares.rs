//! Tests of weighted max-min fair division.

use proptest::prelude::*;
use tindoor_quota::{WeightedDemand, max_min_fair_shares};

proptest! {
    /// Shares never exceed the total nor any demand, and whoever gets less than its demand gets, by weight,
    /// no less than anybody else but one granularity.
    #[test]
    fn shares_are_max_min_fair(
        total in 0u64..100_000,
        amounts in prop::collection::vec((0u64..20_000, 1u64..5), 0..40),
        rotation in 0usize..50,
    ) {
        let demands: Vec<WeightedDemand> = amounts.iter().map(|(amount, weight)| WeightedDemand { amount: *amount, weight: *weight }).collect();
        let shares = max_min_fair_shares(total, &demands, 1, rotation);
        let sum: u64 = shares.iter().sum();
        let wanted: u64 = demands.iter().map(|demand| demand.amount).sum();
        prop_assert!(sum <= total);
        prop_assert!(sum + demands.len() as u64 >= total.min(wanted));
        for (demand, share) in demands.iter().zip(&shares) {
            prop_assert!(*share <= demand.amount);
            if *share < demand.amount {
                for (other, other_share) in demands.iter().zip(&shares) {
                    prop_assert!(other_share / other.weight <= share / demand.weight + 2);
                }
            }
        }
    }

    /// A change of one demand changes no share by more than that.
    #[test]
    fn a_small_change_of_demand_changes_shares_little(
        amounts in prop::collection::vec(0u64..20_000, 2..30),
        more in 0u64..50,
    ) {
        let demand = |amount: &u64| WeightedDemand { amount: *amount, weight: 1 };
        let before = max_min_fair_shares(100_000, &amounts.iter().map(demand).collect::<Vec<_>>(), 1, 0);
        let mut moved = amounts.clone();
        moved[0] += more;
        let after = max_min_fair_shares(100_000, &moved.iter().map(demand).collect::<Vec<_>>(), 1, 0);
        for (old, new) in before.iter().zip(&after) {
            prop_assert!(old.abs_diff(*new) <= more + 1);
        }
    }
}
