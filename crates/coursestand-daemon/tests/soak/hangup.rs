//! The clean-up of a soak that is ended by a signal.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::deployment::{Deployment, TEST_TIMEOUT};
use crate::processes::Processes;

/// Environment variable that is set in the process that gets the signal.
const HOLD_VARIABLE: &str = "COURSESTAND_SOAK_HOLD";
const STARTED_PREFIX: &str = "started process ";

fn is_running(id: u32) -> bool {
    std::path::Path::new(&format!("/proc/{id}")).exists()
}

/// The soak that gets the signal: starts a daemon and waits. Does nothing unless the variable
/// is set.
#[gtest]
#[tokio::test]
async fn holds_a_process_until_hangup() {
    if std::env::var_os(HOLD_VARIABLE).is_none() {
        return;
    }
    let deployment = Deployment::new(&[1]);
    let mut processes = Processes::new(&deployment.data_folder(0));
    processes.start(1, &deployment.control_settings(1, true));
    println!("{STARTED_PREFIX}{}", processes.id(1));
    tokio::time::sleep(TEST_TIMEOUT).await;
}

/// Guards against daemons that keep running after their soak was ended by a signal.
#[gtest]
#[tokio::test]
async fn a_soak_kills_its_processes_on_hangup() {
    let mut soak = Command::new(std::env::current_exe().expect("this program"))
        .args(["holds_a_process_until_hangup", "--nocapture"])
        .env(HOLD_VARIABLE, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    let output = BufReader::new(soak.stdout.take().expect("its output"));
    let started = output
        .lines()
        .map_while(std::result::Result::ok)
        .find_map(|line| {
            let (_, id) = line.split_once(STARTED_PREFIX)?;
            id.trim().parse::<u32>().ok()
        });
    let id = started.expect("a process was started");
    expect_that!(is_running(id), eq(true));
    let sent = Command::new("kill")
        .args(["-HUP", &soak.id().to_string()])
        .status();
    assert!(
        sent.is_ok_and(|status| status.success()),
        "the signal was not sent"
    );
    soak.wait().expect("it exits");
    let signalled_at = Instant::now();
    while is_running(id) && signalled_at.elapsed() < TEST_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(is_running(id), eq(false));
}
