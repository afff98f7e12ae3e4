//! Retry budget, which bounds the load that retries add.

#[cfg(test)]
mod tests;

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum size of the budget, which allows a burst of retries.
const MAX_RETRIES: f64 = 20.0;

/// Allows retries in proportion to requests, so that retries cannot outgrow the load that causes
/// them.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { retries: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Adds the share of one request to the budget.
    pub fn on_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn take_retry(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
