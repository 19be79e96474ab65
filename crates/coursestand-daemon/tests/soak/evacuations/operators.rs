//! Operators that evacuate zones and take that back. They give each call a second and then ask
//! another process, follow redirections, and leave some orders after the first second. Several of
//! them are at work at once, two of them on the same zones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use super::record::{Record, ZoneOrder};
use super::{CONTROLS, ZONES};
use crate::deployment::Deployment;
use crate::order_calls::{Call, OrderAnswer, call_once};

/// Redirections of one call that an operator follows.
const MAX_REDIRECTIONS: usize = 2;
/// Time for which an operator repeats an order.
const MAX_TIME_TO_REPEAT: Duration = Duration::from_secs(20);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Shortest time between two orders of an operator, in milliseconds.
const MIN_REST_MS: u64 = 200;
const MAX_SHORT_REST_MS: u64 = 2_000;
const MAX_LONG_REST_MS: u64 = 20_000;

/// Operators at work.
pub struct Operators {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Operators {
    pub fn start(deployment: &Deployment, record: &Record, random: &mut StdRng) -> Operators {
        let is_over = Arc::new(AtomicBool::new(false));
        // The last two share their zones.
        let zones = [
            &ZONES[1..2],
            &ZONES[2..3],
            &ZONES[3..4],
            &ZONES[4..],
            &ZONES[4..],
        ];
        let tasks = zones.into_iter().map(|zones| {
            let operator = Operator {
                addresses: addresses(deployment),
                zones: zones.to_vec(),
                record: record.clone(),
                random: StdRng::seed_from_u64(random.random()),
                is_over: Arc::clone(&is_over),
            };
            tokio::spawn(operator.run())
        });
        Operators {
            tasks: tasks.collect(),
            is_over,
        }
    }

    /// Waits until the operators have ended their last orders.
    pub async fn finish(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("no panic in an operator");
        }
    }
}

fn addresses(deployment: &Deployment) -> Vec<(u8, SocketAddr)> {
    let controls = CONTROLS.into_iter();
    controls
        .map(|host| {
            let url = deployment.control_url(host);
            let address = url.trim_start_matches("http://");
            (host, address.parse().expect("an address"))
        })
        .collect()
}

struct Operator {
    addresses: Vec<(u8, SocketAddr)>,
    zones: Vec<&'static str>,
    record: Record,
    random: StdRng,
    is_over: Arc<AtomicBool>,
}

impl Operator {
    async fn run(mut self) {
        while !self.is_over.load(Ordering::Relaxed) {
            let zone = self.zones.choose(&mut self.random).expect("a zone");
            self.evacuate_and_take_back(zone).await;
        }
    }

    async fn evacuate_and_take_back(&mut self, zone: &'static str) {
        for is_active in [true, false] {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let rests_long = is_active && self.random.random_bool(0.7);
            let max_rest_ms = match rests_long {
                true => MAX_LONG_REST_MS,
                false => MAX_SHORT_REST_MS,
            };
            // Some orders are left after the first call, whether or not it was answered.
            let is_left = self.random.random_ratio(1, 8);
            self.order(zone, is_active, is_left).await;
            let rest_ms = self.random.random_range(MIN_REST_MS..max_rest_ms);
            self.rest(Duration::from_millis(rest_ms)).await;
        }
    }

    async fn rest(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.is_over.load(Ordering::Relaxed) {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
    }

    /// Sends an order to one process after another until it is acknowledged; only once if it is
    /// left.
    async fn order(&mut self, zone: &'static str, is_active: bool, is_left: bool) {
        let call = Call::evacuate(zone, is_active);
        let sent_at = Instant::now();
        self.choose_order_of_processes();
        let mut pause = FIRST_PAUSE;
        let mut is_acknowledged = false;
        for (_, address) in self.addresses.iter().cycle() {
            let answer = self.call(*address, &call).await;
            is_acknowledged = (200..300).contains(&answer.status);
            if is_acknowledged || is_left || sent_at.elapsed() > MAX_TIME_TO_REPEAT {
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
        let state = if is_active { "evacuated" } else { "taken back" };
        let outcome = if is_acknowledged {
            "acknowledged"
        } else {
            "given up"
        };
        self.record
            .note(format!("order: {zone} {state}, {outcome}"));
        self.record.add_order(ZoneOrder {
            zone,
            is_active,
            sent_at,
            ended_at: Instant::now(),
            is_acknowledged,
        });
    }

    /// Shuffles the control processes. The operator's list is old, so it often begins with one that
    /// does not run.
    fn choose_order_of_processes(&mut self) {
        self.addresses.shuffle(&mut self.random);
        if self.random.random_bool(0.5) {
            let disturbed = self.record.disturbed();
            self.addresses
                .sort_by_key(|(host, _)| !disturbed.contains(host));
        }
    }

    /// Makes one call and follows redirections.
    async fn call(&self, address: SocketAddr, call: &Call) -> OrderAnswer {
        let mut answer = call_once(address, call).await;
        self.note_call(address, call, &answer);
        for _ in 0..MAX_REDIRECTIONS {
            let Some((next, path)) = answer.location.clone() else {
                break;
            };
            let call = call.redirected(&path);
            answer = call_once(next, &call).await;
            self.note_call(next, &call, &answer);
        }
        answer
    }

    fn note_call(&self, address: SocketAddr, call: &Call, answer: &OrderAnswer) {
        let status = answer.status;
        self.record.note(format!("{call:?} at {address}: {status}"));
    }
}
