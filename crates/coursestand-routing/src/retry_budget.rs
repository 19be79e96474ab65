//! Bounds the number of retried requests in any sliding window, summed over all daemons.
//!
//! A daemon obtains retries from two sources. Each request that it reads earns a fraction of
//! a retry, which expires soon; a starting process has earned none, so that the bound holds
//! for any number of daemons and incarnations without coordination. In addition, a fixed
//! allowance of the deployment is divided among the daemons, see
//! [`crate::retry_allowance`]. Copies that were sent and may still arrive withhold retries,
//! see [`crate::unresolved_copies`].

use std::collections::VecDeque;

use coursestand_model::Millis;

use crate::retry_allowance::RetryAllowance;
use crate::unresolved_copies::UnresolvedCopies;

/// Fraction of the allowed ratio that requests earn. Requests of the half window before a
/// window can also pay for retries in it, and may be as many as those inside it, which count
/// for the bound: with one half, both together stay within the bound.
const EARNED_FRACTION: f64 = 0.5;
/// Divisor of the window that gives the lifetime of earned retries. The other half of the
/// window allows for the wait of a request before it is read and for the transit of its retry.
const LIFETIME_DIVISOR: Millis = 2;
/// Number of steps in which earned retries expire.
const EXPIRY_STEPS: Millis = 5;
/// Tolerance for rounding errors in sums of fractions of retries.
const ROUNDING: f64 = 1e-9;

/// Limits of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub extra: f64,
    /// Length of the window in milliseconds.
    pub window_ms: Millis,
}

impl RetryLimits {
    /// Returns the window plus the maximum time allowed between the grant of a retry and its
    /// arrival, in milliseconds.
    pub fn span_ms(&self) -> Millis {
        self.window_ms + self.window_ms / LIFETIME_DIVISOR
    }

    /// Returns whether a copy sent at `sent_at` arrives after the retry that it was charged to
    /// has expired.
    pub fn is_late(&self, now: Millis, sent_at: Millis) -> bool {
        now >= sent_at + self.window_ms / LIFETIME_DIVISOR
    }

    fn step_ms(&self) -> Millis {
        (self.window_ms / LIFETIME_DIVISOR / EXPIRY_STEPS).max(1)
    }
}

/// Retries earned by requests, by the time step in which the requests arrived.
#[derive(Clone, Debug, Default, PartialEq)]
struct Earned {
    steps: VecDeque<(u64, f64)>,
}

impl Earned {
    fn drop_expired(&mut self, now: Millis, limits: RetryLimits) {
        let step = now / limits.step_ms();
        while self
            .steps
            .front()
            .is_some_and(|(earned_in, _)| earned_in + EXPIRY_STEPS <= step)
        {
            self.steps.pop_front();
        }
    }

    fn add(&mut self, now: Millis, limits: RetryLimits, retries: f64) {
        self.drop_expired(now, limits);
        let step = now / limits.step_ms();
        match self.steps.back_mut() {
            Some((latest, sum)) if *latest == step => *sum += retries,
            _ => self.steps.push_back((step, retries)),
        }
    }

    /// Removes fractions of retries, newest first.
    fn remove(&mut self, retries: f64) {
        let mut remaining = retries;
        while let Some((_, sum)) = self.steps.back_mut() {
            if *sum > remaining {
                *sum -= remaining;
                return;
            }
            remaining -= *sum;
            self.steps.pop_back();
        }
    }

    fn left(&self, now: Millis, limits: RetryLimits) -> f64 {
        let step = now / limits.step_ms();
        self.steps
            .iter()
            .filter(|(earned_in, _)| earned_in + EXPIRY_STEPS > step)
            .map(|(_, sum)| sum)
            .sum()
    }

    /// Deducts one retry, oldest fractions first.
    fn take(&mut self) {
        let mut remaining = 1.0;
        while let Some((_, sum)) = self.steps.front_mut() {
            if *sum > remaining {
                *sum -= remaining;
                return;
            }
            remaining -= *sum;
            self.steps.pop_front();
        }
    }
}

/// The retry budget of one daemon for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    earned: Earned,
    /// Times at which retries were taken from the allowance.
    taken_from_allowance: VecDeque<Millis>,
    unresolved: UnresolvedCopies,
}

impl RetryBudget {
    /// Records that a request was read.
    pub fn earn(&mut self, now: Millis, limits: RetryLimits) {
        self.earned.add(now, limits, EARNED_FRACTION * limits.ratio);
    }

    /// Takes back what a request earned: another daemon serves it, where it earns as well.
    pub fn forgo(&mut self, limits: RetryLimits) {
        self.earned.remove(EARNED_FRACTION * limits.ratio);
    }

    /// Returns the unresolved copies, which withhold retries.
    pub fn unresolved(&mut self) -> &mut UnresolvedCopies {
        &mut self.unresolved
    }

    /// Returns the number of retries that are withheld for copies that may still arrive.
    pub fn withheld(&self, now: Millis, limits: RetryLimits) -> usize {
        self.unresolved.withheld(now, limits)
    }

    /// Spends one retry if available. Returns whether it was.
    pub fn spend(&mut self, now: Millis, limits: RetryLimits, allowance: &RetryAllowance) -> bool {
        self.earned.drop_expired(now, limits);
        self.drop_expired_spending(now, limits);
        self.unresolved.prune(now, limits);
        if self.left(now, limits, allowance) < 1.0 - ROUNDING {
            return false;
        }
        if self.earned.left(now, limits) >= 1.0 - ROUNDING {
            self.earned.take();
            return true;
        }
        let may_take = self.allowance_left(now, limits, allowance) >= 1;
        if may_take {
            self.taken_from_allowance.push_back(now);
        }
        may_take
    }

    /// Returns the number of available retries.
    pub fn left(&self, now: Millis, limits: RetryLimits, allowance: &RetryAllowance) -> f64 {
        let allowance_left = self.allowance_left(now, limits, allowance) as f64;
        let withheld = self.withheld(now, limits) as f64;
        (self.earned.left(now, limits) + allowance_left - withheld).max(0.0)
    }

    /// Returns the unspent retries of this daemon's share of the allowance.
    fn allowance_left(
        &self,
        now: Millis,
        limits: RetryLimits,
        allowance: &RetryAllowance,
    ) -> usize {
        let span_ms = limits.span_ms();
        let spent = self.taken_from_allowance.iter();
        let spent = spent.filter(|at| now < **at + span_ms).count();
        allowance.share(now).saturating_sub(spent)
    }

    fn drop_expired_spending(&mut self, now: Millis, limits: RetryLimits) {
        let span_ms = limits.span_ms();
        while self
            .taken_from_allowance
            .front()
            .is_some_and(|at| at + span_ms <= now)
        {
            self.taken_from_allowance.pop_front();
        }
    }
}
