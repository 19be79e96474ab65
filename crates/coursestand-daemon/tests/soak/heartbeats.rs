//! Delivery of heartbeats to control processes.

use coursestand_discovery::InstanceUpdate;
use reqwest::Client;

/// Sends a heartbeat to one control process after another until one accepts it.
pub async fn deliver(http: &Client, control_urls: &[String], update: &InstanceUpdate) {
    let body = serde_json::to_string(update).expect("JSON");
    for url in control_urls {
        let url = format!("{url}/v1/backends/{}", update.instance.id);
        let sent = http.post(url).body(body.clone()).send().await;
        if sent.is_ok_and(|answer| answer.status() == 200) {
            return;
        }
    }
}
