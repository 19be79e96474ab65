//! Bounds the requests that are sent a second time, summed over all daemons, in every
//! window, wherever it begins.
//!
//! A daemon has retries from two sources. Each request that it reads earns a part of one,
//! which expires unless it is spent soon; a process that starts has earned nothing, so that
//! the sum holds with any number of daemons and of their lives, without any talk between
//! them. Besides, a fixed allowance of the whole deployment is divided among the daemons:
//! see [`crate::retry_allowance`]. What was granted and has not arrived holds a retry back:
//! see [`crate::unsettled`].

use std::collections::VecDeque;

use coursestand_model::Millis;

use crate::retry_allowance::RetryAllowance;
use crate::unsettled::UnsettledCopies;

/// Part of the allowed ratio that requests earn. Those of half a window before a window
/// can pay for retries in it, and may be as many as all that count for the bound: with one
/// half, both together stay below it.
const EARNED_PART: f64 = 0.5;
/// Part of a window for which what a request earned can be spent. The other half is left
/// for the time that a request waits before it is read and its retry takes to arrive.
const LIFETIME_PART: Millis = 2;
/// Steps in which what was earned expires.
const EXPIRY_STEPS: Millis = 5;
/// Sums of parts may miss a whole retry by this much.
const ROUNDING: f64 = 1e-9;

/// Bounds of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in each window besides.
    pub extra: f64,
    /// The window in milliseconds.
    pub window_ms: Millis,
}

impl RetryLimits {
    /// Longest time from granting a retry to its arrival that is allowed for, and a window.
    pub fn span_ms(&self) -> Millis {
        self.window_ms + self.window_ms / LIFETIME_PART
    }

    /// Whether what was sent then arrives too late for what has paid for it.
    pub fn is_late(&self, now: Millis, sent_at: Millis) -> bool {
        now >= sent_at + self.window_ms / LIFETIME_PART
    }

    fn step_ms(&self) -> Millis {
        (self.window_ms / LIFETIME_PART / EXPIRY_STEPS).max(1)
    }
}

/// What requests have earned, by the step of time in which they came.
#[derive(Clone, Debug, Default, PartialEq)]
struct Earned {
    steps: VecDeque<(u64, f64)>,
}

impl Earned {
    fn forget(&mut self, now: Millis, limits: RetryLimits) {
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
        self.forget(now, limits);
        let step = now / limits.step_ms();
        match self.steps.back_mut() {
            Some((newest, sum)) if *newest == step => *sum += retries,
            _ => self.steps.push_back((step, retries)),
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

    /// Takes one retry, of the oldest that are left.
    fn take(&mut self) {
        let mut wanted = 1.0;
        while let Some((_, sum)) = self.steps.front_mut() {
            if *sum > wanted {
                *sum -= wanted;
                return;
            }
            wanted -= *sum;
            self.steps.pop_front();
        }
    }
}

/// Retries of one daemon to one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    earned: Earned,
    /// When retries were taken from the allowance.
    from_allowance: VecDeque<Millis>,
    unsettled: UnsettledCopies,
}

impl RetryBudget {
    /// A request came in.
    pub fn earn(&mut self, now: Millis, limits: RetryLimits) {
        self.earned.add(now, limits, EARNED_PART * limits.ratio);
    }

    /// The copies that hold retries back.
    pub fn unsettled(&mut self) -> &mut UnsettledCopies {
        &mut self.unsettled
    }

    /// Retries that are held back for copies which may still arrive.
    pub fn held(&self, now: Millis, limits: RetryLimits) -> usize {
        self.unsettled.held(now, limits)
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, now: Millis, limits: RetryLimits, allowance: &RetryAllowance) -> bool {
        self.earned.forget(now, limits);
        self.forget_spent(now, limits);
        self.unsettled.prune(now, limits);
        if self.left(now, limits, allowance) < 1.0 - ROUNDING {
            return false;
        }
        if self.earned.left(now, limits) >= 1.0 - ROUNDING {
            self.earned.take();
            return true;
        }
        let may_take = self.allowed(now, limits, allowance) >= 1;
        if may_take {
            self.from_allowance.push_back(now);
        }
        may_take
    }

    /// Retries that are left.
    pub fn left(&self, now: Millis, limits: RetryLimits, allowance: &RetryAllowance) -> f64 {
        let allowed = self.allowed(now, limits, allowance) as f64;
        let held = self.held(now, limits) as f64;
        (self.earned.left(now, limits) + allowed - held).max(0.0)
    }

    /// Retries that are left of this daemon's part of the allowance.
    fn allowed(&self, now: Millis, limits: RetryLimits, allowance: &RetryAllowance) -> usize {
        let span_ms = limits.span_ms();
        let spent = self.from_allowance.iter();
        let spent = spent.filter(|at| now < **at + span_ms).count();
        allowance.part(now).saturating_sub(spent)
    }

    fn forget_spent(&mut self, now: Millis, limits: RetryLimits) {
        let span_ms = limits.span_ms();
        while self
            .from_allowance
            .front()
            .is_some_and(|at| at + span_ms <= now)
        {
            self.from_allowance.pop_front();
        }
    }
}
