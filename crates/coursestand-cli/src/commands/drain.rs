//! `coursestand drain` and `coursestand restore`.

use coursestand_coordination::bundles::OrderAction;
use coursestand_coordination::tables::DrainTarget;
use snafu::ResultExt;

use crate::arguments::DrainOptions;
use crate::commands::bundle::{LEADER_TIMEOUT, operator_with_key, require_accepted};
use crate::error::{OperatorSnafu, ToolError, UsageSnafu};

/// Starts or ends a drain, based on the current revision.
pub async fn run(options: DrainOptions, drained: bool) -> Result<(), ToolError> {
    let target = parse_target(&options.target)?;
    let operator = operator_with_key(options.control, &options.key)?;
    let current = operator.status().await.context(OperatorSnafu)?.revision;
    let action = if drained {
        OrderAction::Drain { target }
    } else {
        OrderAction::Restore { target }
    };
    let submission = format!("{}-{drained}-{current}", options.target);
    let answer = operator
        .submit_order(action, current, &submission, LEADER_TIMEOUT)
        .await
        .context(OperatorSnafu)?;
    require_accepted(&answer)
}

fn parse_target(text: &str) -> Result<DrainTarget, ToolError> {
    match text.split_once(':') {
        Some(("region", name)) if !name.is_empty() => Ok(DrainTarget::Region(name.into())),
        Some(("zone", name)) if !name.is_empty() => Ok(DrainTarget::Zone(name.into())),
        Some(("backend", name)) if !name.is_empty() => Ok(DrainTarget::Backend(name.into())),
        _ => {
            let reason = format!("target {text}: allowed are region:NAME, zone:NAME, backend:NAME");
            UsageSnafu { reason }.fail()
        }
    }
}
