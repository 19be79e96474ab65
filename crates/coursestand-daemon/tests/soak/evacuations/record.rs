//! What happened in a run, in order: states of processes, and operators' orders.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A process was started or continued, or it was suspended, killed or told to stop.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEvent {
    pub host: u8,
    pub at: Instant,
    /// Whether the process runs undisturbed after the event.
    pub runs: bool,
}

/// A fault of the connections to a process began or ended.
#[derive(Clone, Copy, Debug)]
struct LinkEvent {
    host: u8,
    at: Instant,
    is_disturbed: bool,
}

/// An order of an operator, with all its attempts.
#[derive(Clone, Debug)]
pub struct ZoneOrder {
    pub zone: &'static str,
    pub is_active: bool,
    pub sent_at: Instant,
    /// When it was acknowledged, or when the operator gave it up.
    pub ended_at: Instant,
    pub is_acknowledged: bool,
}

#[derive(Debug)]
struct Entries {
    started_at: Instant,
    processes: Vec<ProcessEvent>,
    links: Vec<LinkEvent>,
    orders: Vec<ZoneOrder>,
    notes: Vec<(Instant, String)>,
}

/// Record of a run, shared by the tasks of the test.
#[derive(Clone, Debug)]
pub struct Record(Arc<Mutex<Entries>>);

impl Default for Record {
    fn default() -> Self {
        Record(Arc::new(Mutex::new(Entries {
            started_at: Instant::now(),
            processes: Vec::new(),
            links: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
        })))
    }
}

impl Record {
    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a process starts or stops to run undisturbed.
    pub fn note_process(&self, host: u8, runs: bool) {
        let at = Instant::now();
        self.add_process_event(ProcessEvent { host, at, runs });
    }

    pub fn add_process_event(&self, event: ProcessEvent) {
        self.entries().processes.push(event);
    }

    /// Notes that a fault of the connections to a process begins or ends.
    pub fn note_link(&self, host: u8, is_disturbed: bool) {
        let at = Instant::now();
        self.add_link_event(host, at, is_disturbed);
    }

    pub fn add_link_event(&self, host: u8, at: Instant, is_disturbed: bool) {
        self.entries().links.push(LinkEvent {
            host,
            at,
            is_disturbed,
        });
    }

    /// Returns whether no connections were disturbed at any time of a period.
    pub fn are_links_undisturbed(&self, from: Instant, to: Instant) -> bool {
        let entries = self.entries();
        let mut disturbed = BTreeSet::new();
        for event in entries.links.iter().filter(|event| event.at <= to) {
            match event.is_disturbed {
                true => disturbed.insert(event.host),
                false => disturbed.remove(&event.host),
            };
            if event.at >= from {
                return false;
            }
        }
        disturbed.is_empty()
    }

    /// Adds an order that has ended.
    pub fn add_order(&self, order: ZoneOrder) {
        self.entries().orders.push(order);
    }

    /// Adds a line for whoever reads the record.
    pub fn note(&self, text: impl Into<String>) {
        self.entries().notes.push((Instant::now(), text.into()));
    }

    pub fn processes(&self) -> Vec<ProcessEvent> {
        self.entries().processes.clone()
    }

    /// Returns the processes that do not run undisturbed now.
    pub fn disturbed(&self) -> BTreeSet<u8> {
        let mut disturbed = BTreeSet::new();
        for event in &self.entries().processes {
            match event.runs {
                true => disturbed.remove(&event.host),
                false => disturbed.insert(event.host),
            };
        }
        disturbed
    }

    pub fn orders(&self) -> Vec<ZoneOrder> {
        self.entries().orders.clone()
    }

    /// Returns the seconds from the start of the run.
    pub fn seconds(&self, at: Instant) -> f64 {
        let started_at = self.entries().started_at;
        at.saturating_duration_since(started_at).as_secs_f64()
    }

    /// Returns the notes as text.
    pub fn describe(&self) -> String {
        let entries = self.entries();
        let mut text = String::new();
        for (at, note) in &entries.notes {
            let seconds = at.duration_since(entries.started_at).as_secs_f64();
            // Writing to a string does not fail.
            let _ = writeln!(text, "{seconds:8.3}  {note}");
        }
        text
    }
}
