//! Watches the settings file for changed seeds while the process runs; a signal triggers an
//! immediate check.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use coursestand_model::fleet::FleetSettings;
use coursestand_model::load::load;
use log::{info, warn};
use tokio::sync::{Notify, watch};

const LOG: &str = "daemon";
/// Time between two checks of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Publishes the seeds of the settings file whenever they change. `reload` triggers an
/// immediate check.
pub async fn follow_file(
    file: PathBuf,
    reload: Arc<Notify>,
    seeds: watch::Sender<Vec<SocketAddr>>,
) {
    let mut text = std::fs::read(&file).unwrap_or_default();
    loop {
        // Woken by a signal or the end of the interval.
        let _ = tokio::time::timeout(POLL_INTERVAL, reload.notified()).await;
        let newest = match std::fs::read(&file) {
            Ok(newest) => newest,
            Err(error) => {
                warn!(target: LOG, "cannot read the settings file: {error}");
                continue;
            }
        };
        if newest == text {
            continue;
        }
        text = newest;
        match load::<FleetSettings>(&file) {
            Ok(settings) => {
                info!(target: LOG, seeds:? = settings.seeds; "settings reloaded");
                seeds.send_replace(settings.seed_addresses());
            }
            Err(error) => warn!(target: LOG, "changed settings rejected: {error}"),
        }
    }
}
