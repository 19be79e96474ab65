//! Admission by the machine's link.
//!
//! A request passes the link of an entry daemon four times: in from its caller, out to
//! a back end, and its answer the same way back. Callers send whole requests before
//! anything can be refused, so past the link's speed a queue grows in front of the
//! daemon, every request waits in it, and connections to back ends time out: the link
//! carries mostly what comes too late. What a daemon can still decide is whether an
//! answer passes as well.
//!
//! [`LinkAdmission`] keeps a virtual queue for each direction. Every request that came
//! adds its bytes, an admitted one those of its expected answer too, and the queues
//! drain at the rate that the link is believed to carry. That rate is bounded by the
//! link's speed where it is known, falls while new connections to back ends take longer
//! to come up than they need, and rises otherwise. A part of the requests is refused
//! that grows with the longer queue, least urgent routes first.
//!
//! What it buys, in an emulated link of 2 Mbit/s under four times the load that it
//! carries (`coursestand-proxy/tests/narrow_link.rs`): of 1,120 requests 117 to 133 are
//! answered within 400 ms; without it 15 are.

use std::collections::{BTreeSet, HashMap};

use coursestand_model::{Millis, ServiceId};

use crate::route_table::RouteEntry;

/// Bytes that a caller's connection takes in each direction besides its request and
/// its answer, as five segments with headers of 40 to 60 bytes do. What isn't counted
/// right lowers or raises the rate.
const CONNECTION_BYTES: f64 = 250.0;
/// Bytes of a refusal: its head of about 130 bytes and its text.
const REFUSAL_BYTES: f64 = 150.0;
/// Part of the tightest objective that the queue on the link may take.
const QUEUE_PART: f64 = 0.25;
/// A queue longer than this many times what it may be is not followed: the link is
/// given up for as long as it takes to drain, and not for longer.
const LONGEST_QUEUE: f64 = 4.0;
/// Queue, in parts of what it may be, from which on requests of the least and of the
/// most urgent routes are refused, and from which on all of them are. The bands
/// overlap: no kind of request is refused altogether while another is not at all.
const LEAST_URGENT_BAND: Band = Band {
    start: 0.5,
    end: 1.25,
};
const MOST_URGENT_BAND: Band = Band {
    start: 0.65,
    end: 1.5,
};
/// Time over which delays are looked at together, as in CoDel (RFC 8289): the least
/// delay in it is that of a queue that stands.
const INTERVAL_MS: Millis = 200;
/// Factor of the rate after an interval with a queue that stands.
const DECREASE: f64 = 0.95;
/// Factor of the rate after an interval without one: a decrease is won back in less than
/// half a second.
const INCREASE: f64 = 1.03;
/// Part of the link's speed below which the rate never falls: delays that grow for
/// other reasons, as with slow peers, must not stop the service.
const LEAST_PART_OF_SPEED: f64 = 0.4;
/// Bytes that an answer is expected to have before any of its route is known. Had it
/// none, a daemon that starts under load would admit a second's worth of answers before
/// the first one tells.
const FIRST_ANSWER_BYTES: f64 = 4_000.0;
/// Weight of a new answer in the size that a route's answers are expected to have.
const SIZE_GAIN: f64 = 1.0 / 16.0;
/// Part of the requests that a route must have for its objective and its priority to
/// count: a handful of requests with a tight objective must not halve what
/// all others may use of the link.
const LEAST_PART_OF_REQUESTS: f64 = 0.02;
/// Part of a route's count of requests that is left after an interval.
const COUNT_LEFT: f64 = 0.9;
/// A route with a smaller count than this is forgotten.
const FORGOTTEN_COUNT: f64 = 1e-6;
/// Weight of the newest period in the demand that is told.
const NEWEST_PART: f64 = 0.5;
/// Time over which refused bytes are expected to come back.
const RETURN_MS: f64 = 1_000.0;
/// Bounds of the time after which a refused caller may come back.
const LEAST_PAUSE_MS: f64 = 100.0;
const LONGEST_PAUSE_MS: f64 = 2_000.0;

/// Queues between which the refused part grows from nothing to all.
#[derive(Clone, Copy, Debug)]
struct Band {
    start: f64,
    end: f64,
}

impl Band {
    /// The band for a place in the order of urgency: 0 for the most urgent, 1 for the
    /// least urgent.
    fn at(place: f64) -> Band {
        let between = |most: f64, least: f64| most + (least - most) * place;
        Band {
            start: between(MOST_URGENT_BAND.start, LEAST_URGENT_BAND.start),
            end: between(MOST_URGENT_BAND.end, LEAST_URGENT_BAND.end),
        }
    }

    fn refused_part(self, queue: f64) -> f64 {
        ((queue - self.start) / (self.end - self.start)).clamp(0.0, 1.0)
    }
}

/// Bytes that wait to pass the link in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct VirtualQueue {
    bytes: f64,
}

impl VirtualQueue {
    fn change(&mut self, bytes: f64) {
        self.bytes = (self.bytes + bytes).max(0.0);
    }

    fn drain(&mut self, bytes: f64, most_left: f64) {
        self.bytes = (self.bytes - bytes).clamp(0.0, most_left.max(0.0));
    }
}

/// What is known of a route's requests.
#[derive(Clone, Debug)]
struct RouteTraffic {
    request_bytes: f64,
    answer_bytes: Option<f64>,
    objective_ms: Millis,
    priority: u32,
    services: Vec<ServiceId>,
    /// Requests in the last intervals, fading.
    requests: f64,
    /// Factor of the queue that its requests bear, from 1 to 2.
    patience: f64,
}

impl RouteTraffic {
    fn of(route: &RouteEntry, request_bytes: f64) -> RouteTraffic {
        let services = route.route.target.services();
        RouteTraffic {
            request_bytes,
            answer_bytes: None,
            objective_ms: route.route.target_latency_ms,
            priority: route.route.priority,
            services: services
                .iter()
                .map(|(service, _)| (*service).clone())
                .collect(),
            requests: 0.0,
            patience: 1.0,
        }
    }

    fn expected_answer(&self) -> f64 {
        self.answer_bytes.unwrap_or(FIRST_ANSWER_BYTES)
    }

    /// Bytes that refusing one of its requests keeps off the link. The request itself has
    /// passed, and passes again when its caller comes back: what is saved is what the
    /// answer has more than the request.
    fn saving(&self) -> f64 {
        (self.expected_answer() - self.request_bytes).max(0.0)
    }
}

/// A request that came, as far as it concerns the link.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its route.
    pub route: &'a RouteEntry,
    /// Bytes of its head and its body.
    pub bytes: u64,
}

/// Bytes of a request that was admitted, reserved until its answer has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    answer_bytes: f64,
}

/// The link has no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkFull {
    /// After which it is likely to have room, in milliseconds.
    pub drained_in_ms: Millis,
}

/// Decides which requests the machine's link has room for.
#[derive(Debug)]
pub struct LinkAdmission {
    /// Speed of the link in bytes a second, if it is known.
    speed: Option<f64>,
    /// Bytes a second that the link is believed to carry; none while nothing bounds it.
    rate: Option<f64>,
    inbound: VirtualQueue,
    outbound: VirtualQueue,
    routes: HashMap<String, RouteTraffic>,
    /// Priorities of the routes in use, most urgent first.
    priorities: Vec<u32>,
    tightest_ms: Option<Millis>,
    drained_at: Millis,
    interval: Interval,
    demand: Demand,
    /// Bytes of refused requests that are expected to come back.
    returning: f64,
}

/// Bytes that the requests of a period need in each direction.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    bytes: f64,
    since: Millis,
    /// Bytes a second, smoothed over periods.
    rate: f64,
}

/// What was seen since the last change of the rate.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    since: Millis,
    inbound_bytes: f64,
    least_delay_ms: Option<f64>,
}

impl LinkAdmission {
    /// Admission for a link of this speed in bytes a second, if it is known.
    pub fn new(speed: Option<f64>) -> LinkAdmission {
        LinkAdmission {
            speed,
            rate: speed,
            inbound: VirtualQueue::default(),
            outbound: VirtualQueue::default(),
            routes: HashMap::new(),
            priorities: Vec::new(),
            tightest_ms: None,
            drained_at: 0,
            interval: Interval::default(),
            demand: Demand::default(),
            returning: 0.0,
        }
    }

    /// Bytes a second that the link is believed to carry, if anything bounds it.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// A request came. It is admitted, or refused with a chance that grows with the
    /// queue; `draw` is a random number from 0 to 1.
    pub fn admit(
        &mut self,
        now: Millis,
        arrival: &Arrival<'_>,
        draw: f64,
    ) -> Result<Reservation, LinkFull> {
        self.advance(now);
        let request_bytes = arrival.bytes as f64 + CONNECTION_BYTES;
        let traffic = self.count(arrival.route, request_bytes);
        let answer_bytes = traffic.expected_answer();
        let patience = traffic.patience;
        self.pass_in(request_bytes);
        self.demand.bytes += request_bytes + answer_bytes;
        let queue = self.queue_part();
        let band = Band::at(self.place_of(arrival.route.route.priority));
        if draw < band.refused_part(queue / patience) {
            self.outbound.change(REFUSAL_BYTES + CONNECTION_BYTES);
            self.returning += request_bytes + answer_bytes;
            return Err(LinkFull {
                drained_in_ms: self.pause_ms(),
            });
        }
        self.inbound.change(answer_bytes);
        self.outbound.change(request_bytes + answer_bytes);
        Ok(Reservation { answer_bytes })
    }

    /// Ends a period, and tells the part of the link that the requests which come need,
    /// refused ones among them, smoothed; above 1 when the link can't carry them. None
    /// while nothing bounds it.
    pub fn sample_demand(&mut self, now: Millis) -> Option<f64> {
        let seconds = now.saturating_sub(self.demand.since) as f64 / 1_000.0;
        if seconds > 0.0 {
            let newest = self.demand.bytes / seconds;
            self.demand.rate += (newest - self.demand.rate) * NEWEST_PART;
            self.demand.bytes = 0.0;
            self.demand.since = now;
        }
        self.rate.map(|rate| self.demand.rate / rate)
    }

    /// The answer to an admitted request has come, with so many bytes.
    pub fn answered(
        &mut self,
        now: Millis,
        route: &RouteEntry,
        reservation: Reservation,
        bytes: u64,
    ) {
        self.advance(now);
        let bytes = bytes as f64;
        let excess = bytes - reservation.answer_bytes;
        self.interval.inbound_bytes += bytes;
        self.inbound.change(excess);
        self.outbound.change(excess);
        if let Some(traffic) = self.routes.get_mut(&route.name) {
            let known = traffic.answer_bytes.get_or_insert(bytes);
            *known += (bytes - *known) * SIZE_GAIN;
        }
    }

    /// An admitted request has ended without an answer of a back end.
    pub fn abandoned(&mut self, now: Millis, reservation: Reservation) {
        self.advance(now);
        self.inbound.change(-reservation.answer_bytes);
        self.outbound
            .change(REFUSAL_BYTES - reservation.answer_bytes);
    }

    /// Something that passed the link both ways took this much longer than it needs
    /// when nothing waits.
    pub fn note_delay(&mut self, now: Millis, delay_ms: f64) {
        self.advance(now);
        let least = self.interval.least_delay_ms.unwrap_or(delay_ms);
        self.interval.least_delay_ms = Some(least.min(delay_ms));
    }

    fn pass_in(&mut self, bytes: f64) {
        self.interval.inbound_bytes += bytes;
        self.inbound.change(bytes);
    }

    /// Time that the queue may take, in milliseconds.
    fn allowed_queue_ms(&self) -> Option<f64> {
        self.tightest_ms
            .map(|objective_ms| objective_ms as f64 * QUEUE_PART)
    }

    /// The longer queue, in parts of what it may be.
    fn queue_part(&self) -> f64 {
        let (Some(rate), Some(allowed_ms)) = (self.rate, self.allowed_queue_ms()) else {
            return 0.0;
        };
        let longer = self.inbound.bytes.max(self.outbound.bytes);
        longer / (rate * allowed_ms / 1_000.0)
    }

    /// A refused caller comes back when what waits and what was refused lately, which
    /// comes back as well, can have passed.
    fn pause_ms(&self) -> Millis {
        let Some(rate) = self.rate else {
            return LEAST_PAUSE_MS as Millis;
        };
        let waiting = self.inbound.bytes.max(self.outbound.bytes) + self.returning;
        let pause_ms = waiting / rate * 1_000.0;
        pause_ms.clamp(LEAST_PAUSE_MS, LONGEST_PAUSE_MS) as Millis
    }

    /// Counts a request of `route`.
    fn count(&mut self, route: &RouteEntry, request_bytes: f64) -> &RouteTraffic {
        let traffic = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| RouteTraffic::of(route, request_bytes));
        traffic.objective_ms = route.route.target_latency_ms;
        traffic.priority = route.route.priority;
        traffic.requests += 1.0;
        traffic.request_bytes += (request_bytes - traffic.request_bytes) * SIZE_GAIN;
        traffic
    }

    /// 0 for the most urgent of the routes in use, 1 for the least urgent.
    fn place_of(&self, priority: u32) -> f64 {
        let others = self.priorities.len().saturating_sub(1);
        if others == 0 {
            return 0.0;
        }
        let before = self.priorities.partition_point(|known| *known < priority);
        before as f64 / others as f64
    }

    /// Looks up what is tightest and most urgent among the routes in use.
    fn compare_routes(&mut self) {
        for traffic in self.routes.values_mut() {
            traffic.requests *= COUNT_LEFT;
        }
        self.routes
            .retain(|_, traffic| traffic.requests > FORGOTTEN_COUNT);
        let all: f64 = self.routes.values().map(|route| route.requests).sum();
        let least = all * LEAST_PART_OF_REQUESTS;
        let in_use = || self.routes.values().filter(|route| route.requests >= least);
        let priorities: BTreeSet<u32> = in_use().map(|route| route.priority).collect();
        self.tightest_ms = in_use()
            .map(|route| route.objective_ms)
            .filter(|objective_ms| *objective_ms > 0)
            .min();
        self.priorities = priorities.into_iter().collect();
        self.compare_savings(all);
    }

    /// Requests whose refusal saves little bear a longer queue. A route bears at least
    /// what less urgent routes to one of its services bear, so that it is not served
    /// less often than they are.
    fn compare_savings(&mut self, requests: f64) {
        let savings = self
            .routes
            .values()
            .map(|route| route.requests * route.saving());
        let usual = savings.sum::<f64>() / requests.max(f64::MIN_POSITIVE);
        let mut least_urgent_first: Vec<&mut RouteTraffic> = self.routes.values_mut().collect();
        least_urgent_first.sort_by_key(|route| std::cmp::Reverse(route.priority));
        let mut borne: HashMap<ServiceId, f64> = HashMap::new();
        for route in least_urgent_first {
            let part = if usual > 0.0 {
                (route.saving() / usual).min(1.0)
            } else {
                1.0
            };
            let by_others = route
                .services
                .iter()
                .filter_map(|service| borne.get(service));
            route.patience = by_others.copied().fold(2.0 - part, f64::max);
            for service in &route.services {
                borne.insert(service.clone(), route.patience);
            }
        }
    }

    /// Lets the queues drain, and adapts the rate once an interval is over.
    fn advance(&mut self, now: Millis) {
        let passed_ms = now.saturating_sub(self.drained_at) as f64;
        self.drained_at = self.drained_at.max(now);
        self.returning *= (-passed_ms / RETURN_MS).exp();
        match (self.rate, self.allowed_queue_ms()) {
            (Some(rate), Some(allowed_ms)) => {
                let drained = rate * passed_ms / 1_000.0;
                let most_left = LONGEST_QUEUE * rate * allowed_ms / 1_000.0;
                self.inbound.drain(drained, most_left);
                self.outbound.drain(drained, most_left);
            }
            _ => {
                self.inbound = VirtualQueue::default();
                self.outbound = VirtualQueue::default();
            }
        }
        if now >= self.interval.since + INTERVAL_MS {
            self.end_interval(now);
        }
    }

    fn end_interval(&mut self, now: Millis) {
        let seconds = (now - self.interval.since) as f64 / 1_000.0;
        let throughput = self.interval.inbound_bytes / seconds;
        let allowed_ms = self.allowed_queue_ms();
        // Without a sign of a queue the rate rises: so little is admitted that no
        // connection was opened.
        let delay_ms = self.interval.least_delay_ms.unwrap_or(0.0);
        if let Some(allowed_ms) = allowed_ms {
            self.adapt_rate(throughput, delay_ms > allowed_ms);
        }
        self.interval = Interval {
            since: now,
            ..Interval::default()
        };
        self.compare_routes();
    }

    fn adapt_rate(&mut self, throughput: f64, has_queue: bool) {
        let adapted = match self.rate {
            // What has passed the link while others waited, it carries; a little less,
            // so that the queue ends.
            Some(rate) if has_queue => throughput.max(rate) * DECREASE,
            Some(rate) => rate * INCREASE,
            // The first queue tells what the link carries.
            None if has_queue => throughput * DECREASE,
            None => return,
        };
        self.rate = match self.speed {
            Some(speed) => Some(adapted.clamp(LEAST_PART_OF_SPEED * speed, speed)),
            // A rate that binds nothing any more is no bound.
            None if adapted > 2.0 * throughput && !has_queue => None,
            None => Some(adapted),
        };
    }
}
