//! Follows the settings file: its seeds may change while the process runs, with a
//! signal or without.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use coursestand_model::fleet::FleetSettings;
use coursestand_model::load::load;
use log::{info, warn};
use tokio::sync::{Notify, watch};

const LOG: &str = "daemon";
/// Time between two looks at the file.
const LOOK: Duration = Duration::from_secs(2);

/// Publishes the seeds of the settings file whenever they change. `reload` makes
/// it look at once.
pub async fn follow_file(
    file: PathBuf,
    reload: Arc<Notify>,
    seeds: watch::Sender<Vec<SocketAddr>>,
) {
    let mut text = std::fs::read(&file).unwrap_or_default();
    loop {
        // Either a signal or the end of the pause.
        let _ = tokio::time::timeout(LOOK, reload.notified()).await;
        let newest = match std::fs::read(&file) {
            Ok(newest) => newest,
            Err(error) => {
                warn!(target: LOG, "the settings can't be read again: {error}");
                continue;
            }
        };
        if newest == text {
            continue;
        }
        text = newest;
        match load::<FleetSettings>(&file) {
            Ok(settings) => {
                info!(target: LOG, seeds:? = settings.seeds; "the settings were read again");
                seeds.send_replace(settings.seed_addresses());
            }
            Err(error) => warn!(target: LOG, "the changed settings are refused: {error}"),
        }
    }
}
