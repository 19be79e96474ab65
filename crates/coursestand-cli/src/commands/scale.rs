//! `coursestand lab scale`.

use coursestand_lab::scale::{ScalePlan, run_scale};
use snafu::ResultExt;

use crate::arguments::ScaleOptions;
use crate::commands::bundle::print_json;
use crate::error::{DemoSnafu, ToolError, UsageSnafu};

/// Measures the control group with simulated daemons.
pub async fn run(options: ScaleOptions) -> Result<(), ToolError> {
    let steps: Option<Vec<usize>> = options
        .steps
        .split(',')
        .map(|step| step.trim().parse().ok().filter(|count| *count > 0))
        .collect();
    let Some(steps) = steps else {
        let reason = format!("--steps: found {}, allowed: numbers above 0", options.steps);
        return UsageSnafu { reason }.fail();
    };
    let plan = ScalePlan {
        steps,
        changes: options.changes,
    };
    let points = run_scale(&plan).await.context(DemoSnafu)?;
    if options.json {
        return print_json(&points);
    }
    for point in points {
        println!("{point}");
    }
    Ok(())
}
