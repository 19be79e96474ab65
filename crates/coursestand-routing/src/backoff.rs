//! The back-off that a back end asks for with a refusal, and its way back to full use.
//!
//! A back end that refuses answers faster than any that works, so by its load it is always
//! the best choice: without the back-off, six of 20 that refused got 2.3 times their
//! requests, and 28% of the service's requests failed. With it, none is sent to them
//! until the end of the time that they asked for.
//!
//! Afterwards the daemon sends one request at a time, and twice as many after each answer:
//! daemons whose back-offs end together don't make the back end refuse again at once, and
//! one that still refuses costs each daemon one request instead of all that its keys bring.

use coursestand_model::Millis;

/// Longest back-off that is believed: the longest time-out that a route may have. A back
/// end that asks for a year by mistake is tried again after that.
pub const LONGEST_BACKOFF_MS: Millis = 600_000;
/// Requests at a time after a back-off.
const FIRST_ROOM: u32 = 1;
/// Growth of that with each answer.
const ROOM_GROWTH: u32 = 2;

/// The back-off of one incarnation of a back end, as one daemon was told it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    ends_at: Millis,
    /// Requests at a time; none once the back end is in full use.
    room: Option<u32>,
}

impl Backoff {
    /// The back end wants no requests for `asked_ms`. Of several ends the latest holds: a
    /// shorter time, or an answer to a request sent before, takes nothing back. Returns
    /// whether a back-off begins.
    pub fn ask(&mut self, now: Millis, asked_ms: Millis) -> bool {
        let begins = !self.is_active(now);
        let ends_at = now.saturating_add(asked_ms.min(LONGEST_BACKOFF_MS));
        self.ends_at = self.ends_at.max(ends_at);
        self.room = Some(FIRST_ROOM);
        begins
    }

    /// The back end takes more requests again than for a while before.
    pub fn return_slowly(&mut self) {
        self.room = Some(FIRST_ROOM);
    }

    /// Whether the back end wants no requests.
    pub fn is_active(&self, now: Millis) -> bool {
        now < self.ends_at
    }

    /// Time until its end, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> Millis {
        self.ends_at.saturating_sub(now)
    }

    /// Whether the back end takes another request beside `in_flight` of this daemon.
    pub fn has_room(&self, now: Millis, in_flight: u32) -> bool {
        !self.is_active(now) && self.room.is_none_or(|room| in_flight < room)
    }

    /// The back end, which works on `slots` requests at a time, answered one.
    pub fn note_answer(&mut self, now: Millis, slots: u32) {
        if self.is_active(now) {
            return;
        }
        let grown = self.room.map(|room| room.saturating_mul(ROOM_GROWTH));
        self.room = grown.filter(|room| *room <= slots);
    }

    /// The back end refused a request without asking for a back-off.
    pub fn note_refusal(&mut self) {
        self.room = self.room.map(|_| FIRST_ROOM);
    }
}
