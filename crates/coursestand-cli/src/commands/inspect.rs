//! `coursestand dump` and `coursestand lookup`.

use serde_json::Value;
use snafu::ResultExt;

use crate::arguments::{DumpOptions, LookupOptions};
use crate::commands::bundle::print_json;
use crate::error::{HttpSnafu, ToolError};

async fn get(url: String) -> Result<Value, ToolError> {
    let answer = reqwest::get(url).await.context(HttpSnafu)?;
    answer.json().await.context(HttpSnafu)
}

/// Prints the state of a process.
pub async fn dump(options: DumpOptions) -> Result<(), ToolError> {
    print_json(&get(format!("http://{}/state", options.address)).await?)
}

/// Asks an entry daemon which entry daemons a client should use.
pub async fn lookup(options: LookupOptions) -> Result<(), ToolError> {
    let url = format!(
        "http://{}/v1/lookup?service={}&client={}",
        options.address, options.service, options.client
    );
    print_json(&get(url).await?)
}
