//! The replicated control state: a deterministic function of the commands in the
//! log.

use std::sync::Arc;

use coursestand_catalog::Catalog;
use coursestand_model::bundle::{Bundle, MAX_SHIFT_WINDOW_MS, Once};
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::{DaemonId, Millis};
use serde::{Deserialize, Serialize};

use crate::bundles::{AcceptedChange, BundleHistory, OrderAction, SubmitAnswer};
use crate::command::{BackendEpoch, Command, CommandAnswer, StampedCommand};
use crate::departures::{Departures, trailing_departures};
use crate::once::{OnceCommand, OnceLedger};
use crate::shares::{ShareKey, ShareVector};
use crate::shift_ledger::ShiftLedger;
use crate::signing::SignoffPolicy;
use crate::slots::{self, Release, SlotChange};
use crate::tables::{BundleInForce, ControlVersion, Member, Tables};

/// Idempotency key settings while no bundle is in force: every key is refused.
const NO_ONCE_RULES: Once = Once {
    retention_ms: 0,
    clock_skew_ms: 0,
};

/// The replicated control state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    tables: Tables,
    clock: Millis,
    signoff: SignoffPolicy,
    initialized: bool,
    history: BundleHistory,
    ledger: ShiftLedger,
    releases: Vec<Release>,
    once: OnceLedger,
    /// Shared with readers; a change copies it while one of them holds it.
    catalog: Arc<Catalog>,
    /// Longest deadline of all bundles that have been in force: a request that was
    /// dispatched under an earlier bundle may still run.
    longest_deadline_ms: Millis,
    /// The last field that is encoded, so that states of older processes can be read.
    #[serde(deserialize_with = "trailing_departures")]
    departures: Departures,
    /// The bundle in force, parsed from its text in `tables`.
    #[serde(skip)]
    bundle: Option<Bundle>,
}

impl PartialEq for ControlState {
    fn eq(&self, other: &Self) -> bool {
        self.tables == other.tables
            && self.clock == other.clock
            && self.signoff == other.signoff
            && self.history == other.history
            && self.ledger == other.ledger
            && self.releases == other.releases
            && self.once == other.once
            && self.catalog == other.catalog
            && self.departures == other.departures
    }
}

impl ControlState {
    /// Applies the command at log position `index`.
    pub fn apply(&mut self, index: ControlVersion, stamped: &StampedCommand) -> CommandAnswer {
        self.clock = self.clock.max(stamped.clock);
        let rules = self.once_rules();
        self.once.advance(stamped.wall_ms, rules);
        self.ledger.drop_expired(MAX_SHIFT_WINDOW_MS, self.clock);
        match &stamped.command {
            Command::Initialize(policy) => self.initialize(policy),
            Command::SubmitBundle {
                bundle,
                expected_revision,
                submission,
            } => {
                let before = self.history.current();
                let answer = self.history.submit_bundle(
                    bundle,
                    *expected_revision,
                    submission,
                    &self.signoff,
                );
                self.put_in_force(before, answer, index)
            }
            Command::SubmitOrder { order, submission } => {
                let before = self.history.current();
                let answer = self.history.submit_order(order, submission, &self.signoff);
                self.put_in_force(before, answer, index)
            }
            Command::UpdateBackends(rows) => self.update_backends(rows, index),
            Command::MarkLeaving(backends) => self.mark_leaving(backends, index),
            Command::UpdateMembers(members) => self.update_members(members, index),
            Command::AdvanceShares(steps) => self.advance_shares(steps, index),
            Command::AdjustSlots(changes) => self.adjust_slots(changes, index),
            Command::Confirm { all, daemons } => self.confirm(*all, daemons),
            Command::ForgetDaemons(daemons) => self.forget_daemons(daemons, index),
            Command::Once(command) => self.apply_once(command, rules),
            Command::PatchCatalog(patch) => {
                match Arc::make_mut(&mut self.catalog).merge(patch, index) {
                    Ok(()) => CommandAnswer::Done,
                    Err(invalid) => CommandAnswer::Refused(invalid.to_string()),
                }
            }
            Command::Evacuate { zone, is_active } => {
                Arc::make_mut(&mut self.catalog).set_evacuation(zone, *is_active, index);
                CommandAnswer::Done
            }
            Command::RecordDeparture(departure) => {
                self.departures.record(departure, self.clock, index);
                CommandAnswer::Done
            }
        }
    }

    fn apply_once(&mut self, command: &OnceCommand, rules: Once) -> CommandAnswer {
        match command {
            OnceCommand::Claim { key, claim } => {
                CommandAnswer::Claim(self.once.claim(key.clone(), claim.clone(), rules))
            }
            OnceCommand::Complete { key, claim, answer } => {
                self.once.complete(key, claim, answer.clone());
                CommandAnswer::Done
            }
            OnceCommand::Release { key, claim } => {
                self.once.release(key.clone(), claim.clone());
                CommandAnswer::Done
            }
        }
    }

    /// Restores the state that is derived from the tables, after a snapshot was decoded.
    pub fn restore_derived(&mut self) {
        self.bundle = self
            .tables
            .bundle_in_force()
            .and_then(|in_force| serde_json::from_str(&in_force.content).ok());
    }

    /// Returns the rows that are replicated to followers.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the replicated clock in milliseconds.
    pub fn clock(&self) -> Millis {
        self.clock
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.bundle.as_ref()
    }

    /// Returns the history of accepted changes.
    pub fn history(&self) -> &BundleHistory {
        &self.history
    }

    /// Returns the moves of traffic shares that still count against the shift caps.
    pub fn shift_ledger(&self) -> &ShiftLedger {
        &self.ledger
    }

    /// Returns the slots that were revoked and may still be in use.
    pub fn releases(&self) -> &[Release] {
        &self.releases
    }

    /// Returns the claims of requests that run at most once.
    pub fn once(&self) -> &OnceLedger {
        &self.once
    }

    /// Returns the catalog: routes, services, limits and evacuated zones.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the catalog without copying it.
    pub fn shared_catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog)
    }

    /// Returns the back ends whose order to leave was acknowledged.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the longest time in milliseconds that a request may run after its dispatch.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.longest_deadline_ms
    }

    /// Returns whether the sign-off policy is set.
    pub fn is_initialized(&self) -> bool {
        self.initialized
    }

    fn once_rules(&self) -> Once {
        self.bundle
            .as_ref()
            .map_or(NO_ONCE_RULES, |bundle| bundle.once)
    }

    fn initialize(&mut self, policy: &SignoffPolicy) -> CommandAnswer {
        if self.initialized {
            return CommandAnswer::Refused("the sign-off policy is set already".to_owned());
        }
        self.initialized = true;
        self.signoff = policy.clone();
        CommandAnswer::Done
    }

    /// Puts the newest revision in force if it is later than `before`.
    fn put_in_force(
        &mut self,
        before: u64,
        answer: SubmitAnswer,
        index: ControlVersion,
    ) -> CommandAnswer {
        let current = self.history.current();
        if current == before {
            return CommandAnswer::Submit(answer);
        }
        let content = match self.history.content_of(current) {
            Some(content) => Some(content.to_owned()),
            None => self
                .tables
                .bundle_in_force()
                .map(|in_force| in_force.content.clone()),
        };
        if let Some(content) = content {
            let in_force = BundleInForce {
                revision: current,
                content,
            };
            self.tables.bundle.set((), in_force, index);
        }
        self.apply_drain_order(current, index);
        self.tables.version = index;
        self.restore_derived();
        let deadline = self.bundle.as_ref().map_or(0, Bundle::longest_deadline_ms);
        self.longest_deadline_ms = self.longest_deadline_ms.max(deadline);
        CommandAnswer::Submit(answer)
    }

    fn apply_drain_order(&mut self, revision: u64, index: ControlVersion) {
        let change = self
            .history
            .revision(revision)
            .map(|revision| &revision.change);
        let (target, is_drained) = match change {
            Some(AcceptedChange::Order(OrderAction::Drain { target })) => (target.clone(), true),
            Some(AcceptedChange::Order(OrderAction::Restore { target })) => (target.clone(), false),
            _ => return,
        };
        self.tables.drains.set(target, is_drained, index);
    }

    fn update_backends(
        &mut self,
        rows: &[PlatformBackend],
        index: ControlVersion,
    ) -> CommandAnswer {
        let mut has_changed = false;
        for row in rows {
            let mut state = row.state;
            if let Some(existing) = self.tables.backends.get(&row.id) {
                // The platform list lags: rows of an older epoch are outdated, and
                // within one epoch "leaving" never reverts to "live".
                if row.epoch < existing.epoch {
                    continue;
                }
                if row.epoch == existing.epoch {
                    state = state.max(existing.state);
                }
            }
            let record = PlatformBackend {
                state,
                ..row.clone()
            };
            has_changed |= self.tables.backends.set(row.id.clone(), record, index);
        }
        self.record_change(has_changed, index)
    }

    fn mark_leaving(&mut self, backends: &[BackendEpoch], index: ControlVersion) -> CommandAnswer {
        let mut has_changed = false;
        for leaving in backends {
            let Some(existing) = self.tables.backends.get(&leaving.backend) else {
                continue;
            };
            if existing.epoch != leaving.epoch {
                continue;
            }
            let record = PlatformBackend {
                state: BackendState::Leaving,
                ..existing.clone()
            };
            has_changed |= self
                .tables
                .backends
                .set(leaving.backend.clone(), record, index);
        }
        self.record_change(has_changed, index)
    }

    fn update_members(
        &mut self,
        members: &[(String, Member)],
        index: ControlVersion,
    ) -> CommandAnswer {
        let mut has_changed = false;
        for (name, member) in members {
            let existing = self.tables.members.get(name);
            let is_outdated = existing.is_some_and(|existing| !existing.is_superseded_by(member));
            if is_outdated {
                continue;
            }
            has_changed |= self.tables.members.set(name.clone(), member.clone(), index);
        }
        self.record_change(has_changed, index)
    }

    fn advance_shares(
        &mut self,
        steps: &[(ShareKey, ShareVector)],
        index: ControlVersion,
    ) -> CommandAnswer {
        let Some(bundle) = &self.bundle else {
            return CommandAnswer::Refused("no bundle is in force".to_owned());
        };
        let mut moves = Vec::new();
        for (key, next) in steps {
            let Some(service) = bundle.service(&key.service) else {
                return CommandAnswer::Refused(format!("service {} is not known", key.service));
            };
            if !next.is_complete() {
                return CommandAnswer::Refused(
                    "the shares do not sum to all of the traffic".to_owned(),
                );
            }
            let Some(current) = self.tables.shares.get(key) else {
                continue;
            };
            let moved = current.moved_to(next);
            let budget = self.ledger.budget(key, service.shift_cap, self.clock);
            // Enforces the shift cap regardless of what a leader proposes.
            if moved > budget {
                return CommandAnswer::Refused(format!(
                    "{} basis points of {} from {} would move, but only {budget} may move",
                    moved, key.service, key.origin
                ));
            }
            moves.push((key.clone(), moved));
        }
        let mut has_changed = false;
        for (key, next) in steps {
            has_changed |= self.tables.shares.set(key.clone(), next.clone(), index);
        }
        for (key, moved) in moves.into_iter().filter(|(_, moved)| *moved > 0) {
            self.ledger.record(key, moved, index);
        }
        self.record_change(has_changed, index)
    }

    fn adjust_slots(&mut self, changes: &[SlotChange], index: ControlVersion) -> CommandAnswer {
        let Some(bundle) = &self.bundle else {
            return CommandAnswer::Refused("no bundle is in force".to_owned());
        };
        let result = slots::adjust(&mut self.tables, &mut self.releases, bundle, changes, index);
        match result {
            Ok(()) => self.record_change(true, index),
            Err(error) => CommandAnswer::Refused(error.to_string()),
        }
    }

    fn confirm(
        &mut self,
        all: ControlVersion,
        daemons: &[(DaemonId, ControlVersion)],
    ) -> CommandAnswer {
        self.ledger.confirm(all, self.clock);
        for (daemon, version) in daemons {
            self.releases
                .retain(|release| release.daemon != *daemon || release.version > *version);
        }
        CommandAnswer::Done
    }

    fn forget_daemons(&mut self, daemons: &[DaemonId], index: ControlVersion) -> CommandAnswer {
        let mut has_changed = false;
        for daemon in daemons {
            has_changed |= self.tables.slots.remove(daemon).is_some();
            self.releases.retain(|release| release.daemon != *daemon);
        }
        // The new version makes a daemon that was only frozen receive the removal in its
        // next delta.
        self.record_change(has_changed, index)
    }

    fn record_change(&mut self, has_changed: bool, index: ControlVersion) -> CommandAnswer {
        if has_changed {
            self.tables.version = index;
        }
        CommandAnswer::Done
    }
}
