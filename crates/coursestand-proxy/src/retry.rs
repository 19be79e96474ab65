//! Decisions about retries: whether a request is sent again, what that costs, and why it is
//! not.

/// State of a service's retry budget when a retry was decided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetView {
    /// Retries that this daemon has left.
    pub remaining: f64,
    /// Entry daemons that share the fixed allowance.
    pub daemons: usize,
    /// Retries reserved for copies of requests that may still arrive.
    pub withheld: usize,
}

/// The decision about one retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    /// Granted at no cost: no back end received the request.
    Free,
    /// Granted, and taken from the budget, which has this state afterwards.
    Paid(BudgetView),
    /// Not granted.
    Denied(RetryDenial),
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDenial {
    /// Too little of its time is left.
    NoTime,
    /// Its body was streamed and is not buffered.
    BodySpent,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// Too many attempts reached no back end.
    Unreachable,
    /// It was sent to as many back ends as its route allows.
    AttemptsSpent,
    /// The service's budget is spent.
    BudgetSpent(BudgetView),
}

impl RetryVerdict {
    /// Returns whether the request is sent again.
    pub fn is_granted(self) -> bool {
        !matches!(self, RetryVerdict::Denied(_))
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryVerdict::Free => "free",
            RetryVerdict::Paid(_) => "paid",
            RetryVerdict::Denied(denial) => denial.name(),
        }
    }

    /// Returns the budget, if the decision depended on it.
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
    /// Returns the name in logs and metrics.
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
