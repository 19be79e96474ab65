//! Admission control by the capacity of the machine's network link.
//!
//! A request passes the link of an entry daemon four times: inbound from its caller,
//! outbound to a back end, and its answer the same path back. Callers send whole requests
//! before anything can be refused, so beyond the link's speed a queue builds up in front of
//! the daemon, every request waits in it, and connections to back ends time out: the link
//! mostly carries data that arrives too late. The daemon can only control whether an answer
//! passes as well.
//!
//! [`LinkAdmission`] keeps a virtual queue for each direction. Every arriving request adds
//! its bytes, an admitted one also those of its expected answer, and the queues drain at the
//! estimated rate of the link. That rate is bounded by the link's speed where it is known,
//! decreases while new connections to back ends are slow to establish, and increases
//! otherwise. The fraction of refused requests grows with the longer queue, and the least
//! urgent routes are refused first.
//!
//! On an emulated link of 2 Mbit/s at four times its capacity
//! (`coursestand-proxy/tests/narrow_link.rs`), 117 to 133 of 1,120 requests are answered
//! within 400 ms with admission control, and 15 without it.

use std::collections::{BTreeSet, HashMap};

use coursestand_model::{Millis, ServiceId};

use crate::route_table::RouteEntry;

/// Overhead of a caller's connection in each direction besides its request and its answer:
/// five segments with headers of 40 to 60 bytes. The adaptive rate compensates for errors
/// of this estimate.
const CONNECTION_OVERHEAD_BYTES: f64 = 250.0;
/// Size of a refusal: a head of about 130 bytes and the text.
const REFUSAL_BYTES: f64 = 150.0;
/// Fraction of the tightest objective that the queue on the link may take.
const QUEUE_FRACTION: f64 = 0.25;
/// Maximum length of the virtual queue, in multiples of the allowed queue. The excess is
/// dropped, so that refusals last no longer than this queue takes to drain.
const MAX_QUEUE_RATIO: f64 = 4.0;
/// Queue lengths, in multiples of the allowed queue, from which on requests of the least and
/// of the most urgent routes are partly refused (`start`) and all refused (`end`). The bands
/// overlap, so that no priority is refused altogether while another is not refused at all.
const LEAST_URGENT_BAND: Band = Band {
    start: 0.5,
    end: 1.25,
};
const MOST_URGENT_BAND: Band = Band {
    start: 0.65,
    end: 1.5,
};
/// Interval over which the minimum delay is taken, as in CoDel (RFC 8289): the minimum is
/// the delay of a standing queue.
const INTERVAL_MS: Millis = 200;
/// Factor of the rate after an interval with a standing queue.
const DECREASE: f64 = 0.95;
/// Factor of the rate after an interval without one: reverts a decrease in less than half a
/// second.
const INCREASE: f64 = 1.03;
/// Minimum rate as a fraction of the link's speed: delays that grow for other reasons, such
/// as slow peers, must not stop the service.
const MIN_RATE_FRACTION: f64 = 0.4;
/// Expected size of an answer before one of its route is known. With 0, a daemon that starts
/// under load would admit a second's worth of answers before the first one arrives.
const DEFAULT_ANSWER_BYTES: f64 = 4_000.0;
/// Weight of a new answer in the expected answer size of its route.
const SIZE_GAIN: f64 = 1.0 / 16.0;
/// Minimum fraction of the requests at which a route's objective and priority count: a few
/// requests with a tight objective must not halve the link capacity of all others.
const MIN_REQUEST_FRACTION: f64 = 0.02;
/// Fraction of a route's request count that remains after each interval.
const COUNT_DECAY: f64 = 0.9;
/// Routes with a smaller request count than this are dropped.
const MIN_COUNT: f64 = 1e-6;
/// Weight of the latest period in the smoothed demand.
const DEMAND_GAIN: f64 = 0.5;
/// Time constant with which refused bytes are expected to return as retries.
const RETRY_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Bounds of the retry delay of a refused caller.
const MIN_RETRY_DELAY_MS: f64 = 100.0;
const MAX_RETRY_DELAY_MS: f64 = 2_000.0;

/// Range of queue lengths over which the refused fraction grows from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct Band {
    start: f64,
    end: f64,
}

impl Band {
    /// Returns the band for a position in the order of urgency: 0 for the most urgent, 1 for
    /// the least urgent.
    fn at(position: f64) -> Band {
        let between = |most: f64, least: f64| most + (least - most) * position;
        Band {
            start: between(MOST_URGENT_BAND.start, LEAST_URGENT_BAND.start),
            end: between(MOST_URGENT_BAND.end, LEAST_URGENT_BAND.end),
        }
    }

    fn refused_fraction(self, queue: f64) -> f64 {
        ((queue - self.start) / (self.end - self.start)).clamp(0.0, 1.0)
    }
}

/// Bytes queued for the link in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct VirtualQueue {
    bytes: f64,
}

impl VirtualQueue {
    fn change(&mut self, bytes: f64) {
        self.bytes = (self.bytes + bytes).max(0.0);
    }

    fn drain(&mut self, bytes: f64, max_left: f64) {
        self.bytes = (self.bytes - bytes).clamp(0.0, max_left.max(0.0));
    }
}

/// Statistics of a route's requests.
#[derive(Clone, Debug)]
struct RouteTraffic {
    request_bytes: f64,
    answer_bytes: Option<f64>,
    objective_ms: Millis,
    priority: u32,
    services: Vec<ServiceId>,
    /// Number of requests, decaying with each interval.
    requests: f64,
    /// Factor of the queue length up to which its requests are admitted, from 1 to 2.
    queue_tolerance: f64,
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
            queue_tolerance: 1.0,
        }
    }

    fn expected_answer_bytes(&self) -> f64 {
        self.answer_bytes.unwrap_or(DEFAULT_ANSWER_BYTES)
    }

    /// Returns the bytes that refusing one of its requests saves on the link. The request has
    /// already passed the link, and passes it again when the caller retries, so only the
    /// excess of the answer over the request is saved.
    fn saved_bytes(&self) -> f64 {
        (self.expected_answer_bytes() - self.request_bytes).max(0.0)
    }
}

/// An arriving request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its route.
    pub route: &'a RouteEntry,
    /// Size of its head and its body.
    pub bytes: u64,
}

/// Link capacity reserved for an admitted request until its answer has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    answer_bytes: f64,
}

/// Refusal of a request because the link is at capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkFull {
    /// Time after which the link is expected to have capacity, in milliseconds.
    pub drained_in_ms: Millis,
}

/// Admits or refuses requests by the capacity of the machine's link.
#[derive(Debug)]
pub struct LinkAdmission {
    /// Speed of the link in bytes per second, if known.
    speed: Option<f64>,
    /// Estimated capacity of the link in bytes per second; `None` while it is not a bottleneck.
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
    /// Bytes of refused requests that are expected to return as retries.
    retrying_bytes: f64,
}

/// Bytes that the requests of a period require in each direction.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    bytes: f64,
    since: Millis,
    /// Bytes per second, smoothed over periods.
    rate: f64,
}

/// Measurements since the last change of the rate.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    since: Millis,
    inbound_bytes: f64,
    min_delay_ms: Option<f64>,
}

impl LinkAdmission {
    /// Returns the admission control for a link of this speed in bytes per second, if known.
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
            retrying_bytes: 0.0,
        }
    }

    /// Returns the estimated capacity of the link in bytes per second, or `None` while it is not
    /// a bottleneck.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Admits an arriving request, or refuses it with a probability that grows with the queue.
    /// `draw` is a random number from 0 to 1.
    pub fn admit(
        &mut self,
        now: Millis,
        arrival: &Arrival<'_>,
        draw: f64,
    ) -> Result<Reservation, LinkFull> {
        self.advance(now);
        let request_bytes = arrival.bytes as f64 + CONNECTION_OVERHEAD_BYTES;
        let traffic = self.count(arrival.route, request_bytes);
        let answer_bytes = traffic.expected_answer_bytes();
        let queue_tolerance = traffic.queue_tolerance;
        self.note_inbound(request_bytes);
        self.demand.bytes += request_bytes + answer_bytes;
        let queue = self.queue_ratio();
        let band = Band::at(self.urgency_position(arrival.route.route.priority));
        if draw < band.refused_fraction(queue / queue_tolerance) {
            self.outbound
                .change(REFUSAL_BYTES + CONNECTION_OVERHEAD_BYTES);
            self.retrying_bytes += request_bytes + answer_bytes;
            return Err(LinkFull {
                drained_in_ms: self.retry_delay_ms(),
            });
        }
        self.inbound.change(answer_bytes);
        self.outbound.change(request_bytes + answer_bytes);
        Ok(Reservation { answer_bytes })
    }

    /// Ends a period, and returns the smoothed demand as a fraction of the link's capacity.
    /// Refused requests count; a value above 1 means that the link is overloaded. Returns
    /// `None` while the link is not a bottleneck.
    pub fn sample_demand(&mut self, now: Millis) -> Option<f64> {
        let seconds = now.saturating_sub(self.demand.since) as f64 / 1_000.0;
        if seconds > 0.0 {
            let latest = self.demand.bytes / seconds;
            self.demand.rate += (latest - self.demand.rate) * DEMAND_GAIN;
            self.demand.bytes = 0.0;
            self.demand.since = now;
        }
        self.rate.map(|rate| self.demand.rate / rate)
    }

    /// Records the answer to an admitted request and its size in bytes.
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

    /// Releases the reservation of an admitted request that ended without an answer of a back
    /// end.
    pub fn abandoned(&mut self, now: Millis, reservation: Reservation) {
        self.advance(now);
        self.inbound.change(-reservation.answer_bytes);
        self.outbound
            .change(REFUSAL_BYTES - reservation.answer_bytes);
    }

    /// Records the queueing delay of a round trip over the link: the time that it took in
    /// excess of a round trip over an idle link.
    pub fn note_delay(&mut self, now: Millis, delay_ms: f64) {
        self.advance(now);
        let minimum = self.interval.min_delay_ms.unwrap_or(delay_ms);
        self.interval.min_delay_ms = Some(minimum.min(delay_ms));
    }

    fn note_inbound(&mut self, bytes: f64) {
        self.interval.inbound_bytes += bytes;
        self.inbound.change(bytes);
    }

    /// Returns the allowed queueing delay, in milliseconds.
    fn allowed_queue_ms(&self) -> Option<f64> {
        self.tightest_ms
            .map(|objective_ms| objective_ms as f64 * QUEUE_FRACTION)
    }

    /// Returns the longer queue, in multiples of the allowed queue.
    fn queue_ratio(&self) -> f64 {
        let (Some(rate), Some(allowed_ms)) = (self.rate, self.allowed_queue_ms()) else {
            return 0.0;
        };
        let longer = self.inbound.bytes.max(self.outbound.bytes);
        longer / (rate * allowed_ms / 1_000.0)
    }

    /// Returns the retry delay of a refused caller: the time in which the queue and the
    /// recently refused requests, which are retried as well, can pass the link.
    fn retry_delay_ms(&self) -> Millis {
        let Some(rate) = self.rate else {
            return MIN_RETRY_DELAY_MS as Millis;
        };
        let waiting = self.inbound.bytes.max(self.outbound.bytes) + self.retrying_bytes;
        let delay_ms = waiting / rate * 1_000.0;
        delay_ms.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS) as Millis
    }

    /// Adds a request to the statistics of `route`.
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

    /// Returns 0 for the most urgent of the routes in use, 1 for the least urgent.
    fn urgency_position(&self, priority: u32) -> f64 {
        let others = self.priorities.len().saturating_sub(1);
        if others == 0 {
            return 0.0;
        }
        let before = self.priorities.partition_point(|known| *known < priority);
        before as f64 / others as f64
    }

    /// Updates the tightest objective and the priorities of the routes in use.
    fn update_routes(&mut self) {
        for traffic in self.routes.values_mut() {
            traffic.requests *= COUNT_DECAY;
        }
        self.routes
            .retain(|_, traffic| traffic.requests > MIN_COUNT);
        let all: f64 = self.routes.values().map(|route| route.requests).sum();
        let min_requests = all * MIN_REQUEST_FRACTION;
        let in_use = || {
            self.routes
                .values()
                .filter(|route| route.requests >= min_requests)
        };
        let priorities: BTreeSet<u32> = in_use().map(|route| route.priority).collect();
        self.tightest_ms = in_use()
            .map(|route| route.objective_ms)
            .filter(|objective_ms| *objective_ms > 0)
            .min();
        self.priorities = priorities.into_iter().collect();
        self.update_tolerances(all);
    }

    /// Sets the queue tolerances of the routes: the less a refusal saves, the higher. A route
    /// tolerates at least as much as less urgent routes to one of its services, so that it
    /// is not served less often than they are.
    fn update_tolerances(&mut self, requests: f64) {
        let savings = self
            .routes
            .values()
            .map(|route| route.requests * route.saved_bytes());
        let average = savings.sum::<f64>() / requests.max(f64::MIN_POSITIVE);
        let mut least_urgent_first: Vec<&mut RouteTraffic> = self.routes.values_mut().collect();
        least_urgent_first.sort_by_key(|route| std::cmp::Reverse(route.priority));
        let mut tolerated: HashMap<ServiceId, f64> = HashMap::new();
        for route in least_urgent_first {
            let saved_fraction = if average > 0.0 {
                (route.saved_bytes() / average).min(1.0)
            } else {
                1.0
            };
            let less_urgent = route
                .services
                .iter()
                .filter_map(|service| tolerated.get(service));
            route.queue_tolerance = less_urgent.copied().fold(2.0 - saved_fraction, f64::max);
            for service in &route.services {
                tolerated.insert(service.clone(), route.queue_tolerance);
            }
        }
    }

    /// Drains the queues for the elapsed time, and adapts the rate at the end of an interval.
    fn advance(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.drained_at) as f64;
        self.drained_at = self.drained_at.max(now);
        self.retrying_bytes *= (-elapsed_ms / RETRY_TIME_CONSTANT_MS).exp();
        match (self.rate, self.allowed_queue_ms()) {
            (Some(rate), Some(allowed_ms)) => {
                let drained = rate * elapsed_ms / 1_000.0;
                let max_left = MAX_QUEUE_RATIO * rate * allowed_ms / 1_000.0;
                self.inbound.drain(drained, max_left);
                self.outbound.drain(drained, max_left);
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
        // Without a measured delay the rate increases: so little is admitted that no
        // connection was opened.
        let delay_ms = self.interval.min_delay_ms.unwrap_or(0.0);
        if let Some(allowed_ms) = allowed_ms {
            self.adapt_rate(throughput, delay_ms > allowed_ms);
        }
        self.interval = Interval {
            since: now,
            ..Interval::default()
        };
        self.update_routes();
    }

    fn adapt_rate(&mut self, throughput: f64, has_queue: bool) {
        let adapted = match self.rate {
            // With a standing queue, the throughput equals the link's capacity. The rate is
            // set slightly lower, so that the queue drains.
            Some(rate) if has_queue => throughput.max(rate) * DECREASE,
            Some(rate) => rate * INCREASE,
            // The first standing queue shows the link's capacity.
            None if has_queue => throughput * DECREASE,
            None => return,
        };
        self.rate = match self.speed {
            Some(speed) => Some(adapted.clamp(MIN_RATE_FRACTION * speed, speed)),
            // A rate above twice the throughput limits nothing, so it is dropped.
            None if adapted > 2.0 * throughput && !has_queue => None,
            None => Some(adapted),
        };
    }
}
