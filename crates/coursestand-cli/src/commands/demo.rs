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
use crate::error::{BrokenPromiseSnafu, DemoSnafu, ToolError, UsageSnafu};

/// Longest demo in seconds.
const LONGEST_SECONDS: u64 = 600;
/// Highest load in requests a second.
const HIGHEST_RATE: f64 = 5_000.0;
/// Time for each request with all attempts.
const PATIENCE: Duration = Duration::from_secs(8);

/// Makes a deployment by its name.
pub fn deployment_of(name: &str) -> Result<fn(&mut AddressAllocator) -> Deployment, ToolError> {
    match name {
        "hut" => Ok(hut),
        "coop" => Ok(coop),
        other => {
            let reason = format!("deployment {other}: allowed are hut and coop");
            UsageSnafu { reason }.fail()
        }
    }
}

/// The load of a call, within bounds.
pub fn plan_of(run: &str, seconds: u64, rate: f64, seed: u64) -> Result<LoadPlan, ToolError> {
    let allowed = (1..=LONGEST_SECONDS).contains(&seconds) && rate > 0.0 && rate <= HIGHEST_RATE;
    ensure!(
        allowed,
        UsageSnafu {
            reason: format!(
                "--seconds: 1 to {LONGEST_SECONDS}; --rate: above 0, up to {HIGHEST_RATE}"
            ),
        }
    );
    Ok(LoadPlan {
        rate,
        duration: Duration::from_secs(seconds),
        timeout: PATIENCE,
        seed,
        run: run.to_owned(),
    })
}

/// Prints the figures; an error when a promise was broken or nothing answered.
pub fn conclude(figures: &Figures, json: bool) -> Result<(), ToolError> {
    if json {
        print_json(figures)?;
    } else {
        println!("{figures}");
    }
    ensure!(
        figures.verdict.has_no_violations() && figures.answered > 0,
        BrokenPromiseSnafu
    );
    Ok(())
}

/// Runs a whole deployment in this process.
pub async fn run(options: DemoOptions) -> Result<(), ToolError> {
    let make = deployment_of(&options.deployment)?;
    let plan = plan_of("demo", options.seconds, options.rate, 1)?;
    let folder = std::env::temp_dir().join(format!("coursestand-demo-{}", std::process::id()));
    let figures = run_demo(make, &folder, &plan).await;
    remove(&folder);
    conclude(&figures.context(DemoSnafu)?, options.json)
}

fn remove(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        eprintln!("{}: {error}", folder.display());
    }
}
