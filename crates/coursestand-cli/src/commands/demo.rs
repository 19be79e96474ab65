//! `coursestand demo`.

use std::path::Path;
use std::time::Duration;

use coursestand_lab::address::AddressAllocator;
use coursestand_lab::demo::run_demo;
use coursestand_lab::deployment::{Deployment, coop, hut};
use coursestand_lab::load::LoadPlan;
use coursestand_lab::report::Figures;
use snafu::{ResultExt, ensure};

use crate::arguments::DemoOptions;
use crate::commands::bundle::print_json;
use crate::error::{DemoSnafu, GuaranteeViolatedSnafu, ToolError, UsageSnafu};

/// Limit on the duration of the load, in seconds.
const MAX_SECONDS: u64 = 600;
/// Limit on the load, in requests per second.
const MAX_RATE: f64 = 5_000.0;
/// Time limit of a request, including all attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns the constructor of the deployment `name`.
pub fn deployment_by_name(
    name: &str,
) -> Result<fn(&mut AddressAllocator) -> Deployment, ToolError> {
    match name {
        "hut" => Ok(hut),
        "coop" => Ok(coop),
        other => {
            let reason = format!("deployment {other}: allowed are hut and coop");
            UsageSnafu { reason }.fail()
        }
    }
}

/// Returns the load plan of a run, or an error if an argument is out of range.
pub fn load_plan(run: &str, seconds: u64, rate: f64, seed: u64) -> Result<LoadPlan, ToolError> {
    let is_allowed = (1..=MAX_SECONDS).contains(&seconds) && rate > 0.0 && rate <= MAX_RATE;
    ensure!(
        is_allowed,
        UsageSnafu {
            reason: format!("--seconds: 1 to {MAX_SECONDS}; --rate: above 0, up to {MAX_RATE}"),
        }
    );
    Ok(LoadPlan {
        rate,
        duration: Duration::from_secs(seconds),
        timeout: REQUEST_TIMEOUT,
        seed,
        run: run.to_owned(),
    })
}

/// Prints the figures. Fails if a guarantee was violated or no request was answered.
pub fn print_figures(figures: &Figures, json: bool) -> Result<(), ToolError> {
    if json {
        print_json(figures)?;
    } else {
        println!("{figures}");
    }
    ensure!(
        figures.verdict.has_no_violations() && figures.answered > 0,
        GuaranteeViolatedSnafu
    );
    Ok(())
}

/// Runs a complete deployment in this process.
pub async fn run(options: DemoOptions) -> Result<(), ToolError> {
    let construct = deployment_by_name(&options.deployment)?;
    let plan = load_plan("demo", options.seconds, options.rate, 1)?;
    let folder = std::env::temp_dir().join(format!("coursestand-demo-{}", std::process::id()));
    let figures = run_demo(construct, &folder, &plan).await;
    remove_folder(&folder);
    print_figures(&figures.context(DemoSnafu)?, options.json)
}

fn remove_folder(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        eprintln!("{}: {error}", folder.display());
    }
}
