//! An operator: gives each call a second, then closes it and calls another process; later orders
//! something else.

use coursestand_coordination::OrderFence;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::node::{Attempt, Reply};

/// Time that an operator waits for an answer.
pub const PATIENCE_MS: u64 = 1_000;
/// Time after which an operator gives an order up for good.
const MAX_ORDER_MS: u64 = 4_000;
const MAX_PAUSE_MS: u64 = 1_500;
const MAX_REDIRECTS: u8 = 2;

/// A call that an operator makes.
#[derive(Clone, Debug)]
pub struct NewCall {
    pub node: usize,
    pub is_active: bool,
    pub confirmed: Option<OrderFence>,
}

#[derive(Clone, Debug)]
struct OpenCall {
    attempt: Attempt,
    node: usize,
    deadline: u64,
}

pub struct Operator {
    follows_redirects: bool,
    is_active: bool,
    order_started_at: Option<u64>,
    next_at: u64,
    redirects: u8,
    open: Option<OpenCall>,
    next_call: Option<NewCall>,
}

/// What an operator does at a moment.
pub enum Action {
    Nothing,
    Close(Attempt),
    Call(NewCall),
}

impl Operator {
    pub fn new(random: &mut StdRng) -> Operator {
        Operator {
            follows_redirects: random.random_bool(0.5),
            is_active: false,
            order_started_at: None,
            next_at: 0,
            redirects: 0,
            open: None,
            next_call: None,
        }
    }

    pub fn act(&mut self, now: u64, nodes: usize, random: &mut StdRng) -> Action {
        if let Some(open) = &self.open {
            if now < open.deadline {
                return Action::Nothing;
            }
            let attempt = open.attempt;
            self.open = None;
            self.next_at = now + 50;
            return Action::Close(attempt);
        }
        if now < self.next_at {
            return Action::Nothing;
        }
        if let Some(call) = self.next_call.take() {
            return Action::Call(call);
        }
        let is_given_up = self
            .order_started_at
            .is_some_and(|started| now >= started + MAX_ORDER_MS);
        if self.order_started_at.is_none() || is_given_up {
            self.order_started_at = Some(now);
            self.is_active = if random.random_bool(0.8) {
                !self.is_active
            } else {
                self.is_active
            };
        }
        self.redirects = 0;
        Action::Call(NewCall {
            node: random.random_range(0..nodes),
            is_active: self.is_active,
            confirmed: None,
        })
    }

    pub fn opened(&mut self, now: u64, attempt: Attempt, node: usize) {
        self.open = Some(OpenCall {
            attempt,
            node,
            deadline: now + PATIENCE_MS,
        });
    }

    /// Handles an answer. Returns whether the operator still waited for it.
    pub fn receive(
        &mut self,
        now: u64,
        attempt: Attempt,
        reply: Reply,
        random: &mut StdRng,
    ) -> bool {
        let Some(open) = self.open.take_if(|open| open.attempt == attempt) else {
            return false;
        };
        self.next_at = now + 50;
        match reply {
            Reply::Acknowledged => {
                self.order_started_at = None;
                self.next_at = now + random.random_range(0..MAX_PAUSE_MS);
            }
            Reply::Confirm(fence) if self.follows_redirects && self.redirects < MAX_REDIRECTS => {
                self.redirects += 1;
                self.next_at = now;
                self.next_call = Some(NewCall {
                    node: open.node,
                    is_active: self.is_active,
                    confirmed: Some(fence),
                });
            }
            Reply::Confirm(_) | Reply::Unavailable => {}
        }
        true
    }
}
