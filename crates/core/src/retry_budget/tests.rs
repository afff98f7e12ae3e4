//! Properties of the retry budget.

use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(crate::testing::fixed_seed(300))]

    #[test]
    fn retries_are_proportional_to_requests(is_request in proptest::collection::vec(any::<bool>(), 0..2000)) {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0.0, 0.0);
        for request in is_request {
            if request {
                requests += 1.0;
                budget.on_request();
            } else if budget.take_retry() {
                retries += 1.0;
            }
            prop_assert!(retries <= MAX_RETRIES + requests * RETRIES_PER_REQUEST);
        }
    }
}
