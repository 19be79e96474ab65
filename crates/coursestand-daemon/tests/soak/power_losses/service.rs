//! What operators and callers get of a group: reads of the configuration, and answers to requests.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::ledger::{Ledger, Versions, check_read};
use crate::evacuations::{CONTROLS, System};
use crate::operators::versions_in;

/// Time after which a read is answered and requests are served once all processes are back.
pub const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which a control process counts as lost after it is back.
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// Requests to each daemon after the recovery, of which a quarter must be served.
const REQUESTS_AFTER_RECOVERY: usize = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads the configuration once from one control process, if it answers.
pub async fn read(system: &System, host: u8) -> Result<Option<Versions>, String> {
    let url = format!("{}/v1/catalog", system.deployment.control_url(host));
    let Ok(answer) = system.deployment.http.get(url).send().await else {
        return Ok(None);
    };
    if answer.status() != 200 {
        return Ok(None);
    }
    match answer.text().await {
        Ok(text) => versions_in(&text).map(Some),
        Err(_) => Ok(None),
    }
}

/// Checks a read at one control process; returns whether it answered.
pub async fn check_read_at(system: &System, ledger: &Ledger, host: u8) -> Result<bool, String> {
    let acknowledged = ledger.acknowledged();
    let found = read(system, host).await?;
    let sent = ledger.sent();
    let Some(found) = found else {
        return Ok(false);
    };
    check_read(&acknowledged, &sent, &found)
        .map_err(|reason| format!("read at {host}: {reason}"))?;
    Ok(true)
}

/// Waits until each daemon serves. After the time to recover, a quarter of the requests is
/// enough. Meanwhile `check` is called again and again.
pub async fn wait_for_service(
    system: &mut System,
    mut check: impl FnMut(&mut System) -> Result<(), String>,
    when: &str,
) -> Result<(), String> {
    let began_at = Instant::now();
    let mut waiting = system.edges.clone();
    while began_at.elapsed() < RECOVERY {
        check(system)?;
        let mut left = Vec::new();
        for edge in waiting {
            if !serves(system, edge).await {
                left.push(edge);
            }
        }
        waiting = left;
        if waiting.is_empty() {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut served = 0;
    for edge in system.edges.repeat(REQUESTS_AFTER_RECOVERY) {
        served += usize::from(serves(system, edge).await);
    }
    let sent = system.edges.len() * REQUESTS_AFTER_RECOVERY;
    match served * 4 < sent {
        true => Err(format!("{served} of {sent} requests are served {when}")),
        false => Ok(()),
    }
}

async fn serves(system: &System, edge: u8) -> bool {
    let status = system.deployment.request(edge, "/safe/probe", "probe");
    status.await == 200
}

/// Returns whether a replica votes by its own log, as the dump of its state says.
pub fn votes(replica: &Value) -> bool {
    let members = replica["members"].as_array().into_iter().flatten();
    let own = &replica["identity"]["replica"];
    members
        .filter(|member| member["voter"] == true)
        .any(|voter| voter["replica"] == *own)
}

/// Returns whether each control process is a voter that holds what was acknowledged.
pub async fn is_group_complete(system: &System, ledger: &Ledger) -> bool {
    let acknowledged = ledger.acknowledged();
    for host in CONTROLS {
        let Some(replica) = system.dump(host, "/hub/replica").await else {
            return false;
        };
        let members = replica["members"].as_array().cloned().unwrap_or_default();
        let is_voter = |member: &&Value| member["voter"] == true;
        let voters = members.iter().filter(is_voter).count();
        if replica["leader"].is_null() || !votes(&replica) || voters != CONTROLS.len() {
            return false;
        }
        let found = read(system, host).await;
        let holds_all = found.is_ok_and(|found| {
            found.is_some_and(|found| check_read(&acknowledged, &found, &found).is_ok())
        });
        if !holds_all {
            return false;
        }
    }
    true
}
