//! `coursestand schema`.

use coursestand_model::settings::DaemonSettings;
use coursestand_model::{Bundle, SignedBundle};
use schemars::schema_for;
use snafu::ResultExt;

use crate::arguments::SchemaOptions;
use crate::error::{JsonSnafu, ToolError, UsageSnafu};

/// Prints a JSON schema.
pub fn run(options: &SchemaOptions) -> Result<(), ToolError> {
    let schema = match options.kind.as_str() {
        "settings" => schema_for!(DaemonSettings),
        "bundle" => schema_for!(Bundle),
        "signed-bundle" => schema_for!(SignedBundle),
        other => {
            let reason = format!("schema {other}: allowed are settings, bundle, signed-bundle");
            return UsageSnafu { reason }.fail();
        }
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&schema).context(JsonSnafu)?
    );
    Ok(())
}
