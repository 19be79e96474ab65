//! Whether a request is sent again, what that costs, and why it is not.

/// What the budget of a service looked like when a retry was decided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetView {
    /// Retries that are left to this daemon.
    pub left: f64,
    /// Entry daemons among which the fixed allowance is divided.
    pub daemons: usize,
    /// Retries held back for copies of requests that may still arrive.
    pub held: usize,
}

/// The decision about one retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    /// Granted; nothing arrived anywhere before, so it costs nothing.
    Free,
    /// Granted, and taken from the budget, which is this afterwards.
    Paid(BudgetView),
    /// Not granted.
    Denied(RetryDenial),
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDenial {
    /// Too little of its time is left.
    NoTime,
    /// Its body was passed on and is not kept.
    BodySpent,
    /// It may have run, and may run once only.
    MayHaveRun,
    /// Too many attempts found nobody.
    Unreachable,
    /// It was sent to as many back ends as its route allows.
    AttemptsSpent,
    /// The service's budget is spent.
    BudgetSpent(BudgetView),
}

impl RetryVerdict {
    /// Whether the request is sent again.
    pub fn is_granted(self) -> bool {
        !matches!(self, RetryVerdict::Denied(_))
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryVerdict::Free => "free",
            RetryVerdict::Paid(_) => "paid",
            RetryVerdict::Denied(denial) => denial.name(),
        }
    }

    /// The budget, where it decided.
    pub fn budget(self) -> Option<BudgetView> {
        match self {
            RetryVerdict::Paid(budget) | RetryVerdict::Denied(RetryDenial::BudgetSpent(budget)) => {
                Some(budget)
            }
            _ => None,
        }
    }
}

impl RetryDenial {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryDenial::NoTime => "no-time",
            RetryDenial::BodySpent => "body-spent",
            RetryDenial::MayHaveRun => "may-have-run",
            RetryDenial::Unreachable => "unreachable",
            RetryDenial::AttemptsSpent => "attempts-spent",
            RetryDenial::BudgetSpent(_) => "budget-spent",
        }
    }
}
