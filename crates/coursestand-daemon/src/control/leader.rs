//! The duties of the leader: membership, the platform list, confirmations, traffic shares
//! and slots. Every replica runs these tasks; only the one with the leader lease acts, and
//! the state machine validates its proposals.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coursestand_coordination::allocator::plan_slots;
use coursestand_coordination::planner::plan_steps;
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_kernel::{Registry, Service, ServiceError, Tasks};
use coursestand_model::DaemonId;
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::settings::ControlSettings;
use log::{debug, warn};
use serde_json::{Value, json};

use crate::control::handle::ControlHandle;
use crate::control::platform::PlatformClient;
use crate::names;

const LOG: &str = "control";
/// Interval between rounds of duties unless one is requested earlier.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the leader's duties.
pub struct Leader {
    settings: ControlSettings,
    tasks: Tasks,
}

impl Leader {
    /// Returns the duties with these settings.
    pub fn new(settings: ControlSettings) -> Leader {
        Leader {
            settings,
            tasks: Tasks::default(),
        }
    }
}

#[async_trait]
impl Service for Leader {
    fn name(&self) -> &'static str {
        names::LEADER
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let failed = |error: &dyn std::fmt::Display| ServiceError::new(names::LEADER, error);
        let control = registry
            .find::<ControlHandle>(names::CONTROL)
            .map_err(|error| failed(&error))?;
        self.tasks.start(run_duties(Arc::clone(&control)));
        if let Some(url) = &self.settings.platform_list {
            let client = PlatformClient::new(url).map_err(|error| failed(&error))?;
            let pause = Duration::from_millis(self.settings.platform_poll_ms);
            self.tasks.start(watch_platform(control, client, pause));
        }
        Ok(())
    }

    async fn stop(&self) {
        self.tasks.abort();
    }

    fn dump(&self) -> Value {
        json!({ "platform_list": self.settings.platform_list })
    }
}

async fn watch_platform(control: Arc<ControlHandle>, client: PlatformClient, pause: Duration) {
    let mut is_failing = false;
    loop {
        tokio::time::sleep(pause).await;
        if control.shared.leading_term().is_none() {
            continue;
        }
        match client.read().await {
            Ok(list) => {
                is_failing = false;
                let changed = changed_rows(&control, list.backends);
                if !changed.is_empty() {
                    propose(&control, Command::UpdateBackends(changed)).await;
                    control.duties.notify_one();
                }
            }
            Err(error) if !is_failing => {
                is_failing = true;
                warn!(target: LOG, "{error}");
            }
            Err(_) => {}
        }
    }
}

/// Returns the rows of the platform list that change the control state.
fn changed_rows(control: &ControlHandle, rows: Vec<PlatformBackend>) -> Vec<PlatformBackend> {
    let state = control.shared.state();
    rows.into_iter()
        .filter(|row| {
            let Some(known) = state.tables().backends.get(&row.id) else {
                return true;
            };
            let is_newer = row.epoch > known.epoch;
            let is_leaving = row.epoch == known.epoch && row.state > known.state;
            let has_moved = row.epoch == known.epoch
                && (row.address != known.address || row.slots != known.slots);
            is_newer || is_leaving || has_moved
        })
        .collect()
}

async fn run_duties(control: Arc<ControlHandle>) {
    loop {
        // A round follows whether the wait was notified or timed out.
        let _ = tokio::time::timeout(ROUND_INTERVAL, control.duties.notified()).await;
        let started = Instant::now();
        if control.shared.leading_term().is_some() {
            run_round(&control).await;
        }
        let spent = started.elapsed();
        tokio::time::sleep(MIN_ROUND_INTERVAL.saturating_sub(spent)).await;
    }
}

async fn run_round(control: &ControlHandle) {
    for plan in [member_updates, leaving_updates, confirmations] {
        if let Some(command) = plan(control) {
            propose(control, command).await;
        }
    }
    free_slots_of_ended_daemons(control).await;
    for plan in [next_shares, next_slots] {
        if let Some(command) = plan(control) {
            propose(control, command).await;
        }
    }
}

/// Frees the slots of daemons whose leases and requests have ended. These
/// daemons are refused a lease until the command has been applied or lost.
async fn free_slots_of_ended_daemons(control: &ControlHandle) {
    let Some(ended) = ended_daemons(control) else {
        return;
    };
    propose(control, Command::ForgetDaemons(ended.clone())).await;
    // A proposed command is lost only when the term ends, which drops the tenure. If the
    // leader's lease has expired at this moment, the next round permits leases again.
    if let Some((mut guard, _)) = control.tenure()
        && let Some(tenure) = guard.as_mut()
    {
        tenure.set_freeing_slots(&[]);
    }
}

async fn propose(control: &ControlHandle, command: Command) {
    match control.propose(command).await {
        Ok(CommandAnswer::Refused(reason)) => {
            warn!(target: LOG, "the state machine rejected a command: {reason}");
        }
        Ok(_) => {}
        Err(error) => debug!(target: LOG, "a command was not committed: {error}"),
    }
}

fn member_updates(control: &ControlHandle) -> Option<Command> {
    let (guard, now) = control.tenure()?;
    let state = control.shared.state();
    let updates = guard.as_ref()?.member_updates(now, state.tables());
    (!updates.is_empty()).then_some(Command::UpdateMembers(updates))
}

fn leaving_updates(control: &ControlHandle) -> Option<Command> {
    let leaving = {
        let (guard, now) = control.tenure()?;
        guard.as_ref()?.leaving_backends(now)
    };
    let state = control.shared.state();
    let updates: Vec<_> = leaving
        .into_iter()
        .filter(|update| {
            state
                .tables()
                .backends
                .get(&update.backend)
                .is_some_and(|known| {
                    known.epoch == update.epoch && known.state == BackendState::Live
                })
        })
        .collect();
    (!updates.is_empty()).then_some(Command::MarkLeaving(updates))
}

/// Confirms the moves that every daemon has applied, and the released slots that their
/// daemons have stopped using.
fn confirmations(control: &ControlHandle) -> Option<Command> {
    let (guard, now) = control.tenure()?;
    let tenure = guard.as_ref()?;
    let state = control.shared.state();
    let version = state.tables().version;
    let all = tenure.registry.confirmed_by_all(now, version).unwrap_or(0);
    let mut daemons: Vec<_> = state
        .releases()
        .iter()
        .filter_map(|release| {
            let settled = tenure.registry.settled_version(&release.daemon)?;
            (settled >= release.version).then(|| (release.daemon.clone(), settled))
        })
        .collect();
    daemons.sort();
    daemons.dedup();
    let confirms_moves = state
        .shift_ledger()
        .oldest_unconfirmed()
        .is_some_and(|oldest| oldest <= all);
    (confirms_moves || !daemons.is_empty()).then_some(Command::Confirm { all, daemons })
}

/// Returns the daemons that hold slots although their leases and requests have ended. Only
/// these are refused leases from this round on: rounds run one after the other, so no
/// command of an earlier round is in flight.
fn ended_daemons(control: &ControlHandle) -> Option<Vec<DaemonId>> {
    let (mut guard, now) = control.tenure()?;
    let tenure = guard.as_mut()?;
    let state = control.shared.state();
    let grace = state.longest_deadline_ms();
    let holders = state.tables().slots.iter().map(|(daemon, _)| daemon);
    let releasing = state.releases().iter().map(|release| &release.daemon);
    let mut ended: Vec<_> = holders
        .chain(releasing)
        .filter(|daemon| tenure.has_ended(now, daemon, grace))
        .cloned()
        .collect();
    ended.sort();
    ended.dedup();
    tenure.remove_ended(now, grace);
    tenure.set_freeing_slots(&ended);
    (!ended.is_empty()).then_some(ended)
}

fn next_shares(control: &ControlHandle) -> Option<Command> {
    let unreachable = {
        let (guard, now) = control.tenure()?;
        guard.as_ref()?.unreachable_backends(now)
    };
    let clock = control.shared.replicated_clock()?;
    let steps = plan_steps(&control.shared.state(), &unreachable, clock);
    (!steps.is_empty()).then_some(Command::AdvanceShares(steps))
}

fn next_slots(control: &ControlHandle) -> Option<Command> {
    let (demand, unreachable) = {
        let (guard, now) = control.tenure()?;
        let tenure = guard.as_ref()?;
        (tenure.demand(now), tenure.unreachable_backends(now))
    };
    let changes = plan_slots(&control.shared.state(), &demand, &unreachable);
    (!changes.is_empty()).then_some(Command::AdjustSlots(changes))
}
