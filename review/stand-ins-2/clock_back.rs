//! A back end restarts under its identity after the time of day of its machine stepped back. Later
//! it says that it drains, and is acknowledged.
mod harness;

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use harness::*;

const DRAIN: Duration = Duration::from_millis(3_000);
/// By how much the time of day was ahead at the first start.
const AHEAD_MS: u64 = 2_000;
/// Time from the first start to the second one.
const RESTART_MS: u64 = 1_200;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Sends a heartbeat to one process after the other, and returns the first acknowledgement.
fn beat(controls: &[SocketAddr], address: SocketAddr, born: u64, sequence: u64, state: &str) -> Option<u16> {
    let body = format!(r#"{{"born":{born},"Address":"{address}","Info":{{"Service":"ledger","ConfigVersion":"v1","Zone":"z1","Capacity":4}},"Status":{{"State":"{state}","Sequence":{sequence},"ColdRemaining":"0ms"}}}}"#);
    controls.iter().find_map(|to| {
        let head = format!("POST /instances/i-again/heartbeat HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
        let status = ask(*to, head.as_bytes(), Duration::from_secs(1)).ok()?.status;
        (200..300).contains(&status).then_some(status)
    })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let Some(mut site) = Site::new(Path::new(&folder)) else { std::process::exit(NOT_RUN) };
    let record = site.record.clone();
    site.start_control();
    site.start_edge();
    let taken = site.operate("POST", "/config/patch", &first_config("unsafe", 2, 7), 10.0);
    let controls: Vec<SocketAddr> = (0..3).map(|number| site.control_address(number)).collect();
    let other: SocketAddr = format!("{}.31:8080", site.net).parse().unwrap();
    let again: SocketAddr = format!("{}.32:8080", site.net).parse().unwrap();
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let seen = Arc::clone(&arrivals);
    let is_up = serve(other, |request, stream| {
        stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
    });
    let stop = Arc::new(AtomicBool::new(false));
    send_heartbeats(controls.clone(), "i-other", "ledger", other, 4, Arc::clone(&stop));
    // One of nine back ends crashes: less than the share of `srv_crash`, 0.15.
    for host in 33..40 {
        let address = format!("{}.{host}:8080", site.net).parse().unwrap();
        let is_up = serve(address, |request, stream| {
            stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
        });
        if !is_up {
            site.finish(NOT_RUN);
        }
        send_heartbeats(controls.clone(), &format!("i-other-{host}"), "ledger", address, 4, Arc::clone(&stop));
    }
    if !taken.is_some_and(|answer| answer.status == 200) || !is_up || !site.wait_ready(0, 10.0) {
        record.note("the deployment is not ready");
        site.finish(NOT_RUN);
    }
    // The first start: it announces itself, and crashes before it serves anything.
    let ahead = if has_trouble() { AHEAD_MS } else { 0 };
    let first_born = unix_ms() + ahead;
    let status = beat(&controls, again, first_born, 1, "ready");
    record.note(format!("i-again starts, born {first_born} (its time of day is {ahead} ms ahead): {status:?}; it crashes"));
    sleep_ms(RESTART_MS);
    // The second start, with the time of day set right.
    let born = unix_ms();
    let is_up = serve(again, move |request, stream| {
        seen.lock().unwrap().push((Instant::now(), request.id()));
        stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
    });
    record.note(format!("i-again starts again under its Id, born {born}, {RESTART_MS} ms later"));
    if !is_up {
        site.finish(NOT_RUN);
    }
    let state = Arc::new(Mutex::new("ready"));
    let acknowledged: Arc<Mutex<Option<Instant>>> = Arc::default();
    let sequence = Arc::new(AtomicU64::new(0));
    {
        let (controls, state, acknowledged, stop, record) = (controls.clone(), Arc::clone(&state), Arc::clone(&acknowledged), Arc::clone(&stop), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let now = *state.lock().unwrap();
                let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
                let status = beat(&controls, again, born, number, now);
                if status.is_some() && now == "draining" {
                    let mut acknowledged = acknowledged.lock().unwrap();
                    if acknowledged.is_none() {
                        record.note(format!("i-again says that it drains (Sequence {number}): {status:?}"));
                        *acknowledged = Some(Instant::now());
                    }
                }
                sleep_ms(1_500);
            }
        });
    }
    let front = site.front(0);
    let mut number = 0;
    let mut traffic = |from: &str, lasts: Duration| {
        let end = Instant::now() + lasts;
        let (mut served, mut sent) = (0, 0);
        while Instant::now() < end {
            number += 1;
            sent += 1;
            served += u32::from(post(front, &format!("{from}-{number}"), &number.to_string()).is_ok_and(|a| a.status == 200));
            sleep_ms(40);
        }
        (served, sent)
    };
    let (served, sent) = traffic("before", Duration::from_secs(8));
    let usual = arrivals.lock().unwrap().len();
    record.note(format!("{served} of {sent} requests served, {usual} of them at i-again"));
    *state.lock().unwrap() = "draining";
    let (served, sent) = traffic("after", Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    record.note(format!("after: {served} of {sent} requests served"));
    let Some(acknowledged) = *acknowledged.lock().unwrap() else {
        record.note("the order to drain was not acknowledged");
        site.finish(if has_trouble() { HELD } else { NOT_RUN })
    };
    let late = arrivals.lock().unwrap().iter().filter(|(at, _)| *at > acknowledged + DRAIN).count();
    record.note(format!("DRAIN: {late} requests reached i-again later than Drain after the acknowledgement"));
    site.finish(if late == 0 { HELD } else { BROKEN })
}
