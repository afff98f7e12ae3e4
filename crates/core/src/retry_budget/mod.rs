//! Limits that keep failures from multiplying load.

#[cfg(test)]
mod tests;

/// Retries that one request adds to a budget.
const PER_REQUEST: f64 = 0.2;
/// Retries that may come at once.
const BURST: f64 = 20.0;

/// Allows retries in proportion to requests, so that retries cannot outgrow the load that
/// causes them.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { retries: BURST }
    }
}

impl RetryBudget {
    /// Counts one request.
    pub fn on_request(&mut self) {
        self.retries = (self.retries + PER_REQUEST).min(BURST);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn take_retry(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
