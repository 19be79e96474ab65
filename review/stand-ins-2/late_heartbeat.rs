//! A back end deregisters and is acknowledged. All processes of the system are killed and come
//! back. A heartbeat that the back end had sent before it deregistered arrives late.
mod harness;

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use harness::*;

const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_millis(4_000);
/// How late the heartbeat is.
const LATE: Duration = Duration::from_millis(3_500);

fn send(to: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let head = format!("POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    ask(to, head.as_bytes(), Duration::from_secs(1)).ok().map(|answer| answer.status)
}

fn heartbeat(address: SocketAddr, sequence: u64) -> String {
    format!(r#"{{"Address":"{address}","Info":{{"Service":"ledger","ConfigVersion":"v1","Zone":"z1","Capacity":4}},"Status":{{"State":"ready","Sequence":{sequence},"ColdRemaining":"0ms"}}}}"#)
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let Some(mut site) = Site::new(Path::new(&folder)) else { std::process::exit(NOT_RUN) };
    let record = site.record.clone();
    site.start_control();
    site.start_edge();
    let taken = site.operate("POST", "/config/patch", &first_config("unsafe", 2, 7), 10.0);
    if !taken.is_some_and(|answer| answer.status == 200) {
        record.note("no configuration was taken");
        site.finish(NOT_RUN);
    }
    let controls: Vec<SocketAddr> = (0..3).map(|number| site.control_address(number)).collect();
    let stays: SocketAddr = format!("{}.31:8080", site.net).parse().unwrap();
    let leaves: SocketAddr = format!("{}.32:8080", site.net).parse().unwrap();
    // Arrivals at the back end that leaves.
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let seen = Arc::clone(&arrivals);
    let is_up = serve(stays, |request, stream| {
        stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
    }) && serve(leaves, move |request, stream| {
        seen.lock().unwrap().push((Instant::now(), request.id()));
        stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
    });
    let stop = Arc::new(AtomicBool::new(false));
    send_heartbeats(controls.clone(), "i-stays", "ledger", stays, 4, Arc::clone(&stop));
    // One of nine back ends leaves: less than the share of `scale_in` in the site's days, 0.13.
    for host in 33..40 {
        let address = format!("{}.{host}:8080", site.net).parse().unwrap();
        let is_up = serve(address, |request, stream| {
            stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
        });
        if !is_up {
            site.finish(NOT_RUN);
        }
        send_heartbeats(controls.clone(), &format!("i-stays-{host}"), "ledger", address, 4, Arc::clone(&stop));
    }
    let left = Arc::new(AtomicBool::new(false));
    send_heartbeats(controls.clone(), "i-leaves", "ledger", leaves, 4, Arc::clone(&left));
    if !is_up || !site.wait_ready(0, 10.0) {
        record.note("the entry daemon is not ready");
        site.finish(NOT_RUN);
    }
    let front = site.front(0);
    let mut number = 0;
    let mut traffic = |from: &str, lasts: Duration| {
        let end = Instant::now() + lasts;
        let mut served = 0;
        let mut sent = 0;
        while Instant::now() < end {
            number += 1;
            sent += 1;
            served += u32::from(post(front, &format!("{from}-{number}"), &number.to_string()).is_ok_and(|a| a.status == 200));
            sleep_ms(40);
        }
        (served, sent)
    };
    // Calm for longer than Contact, so that the machines are in touch.
    let (served, sent) = traffic("before", CONTACT + Duration::from_secs(1));
    let usual = arrivals.lock().unwrap().len();
    record.note(format!("before: {served} of {sent} requests served, {usual} of them at i-leaves"));
    left.store(true, Ordering::Relaxed);
    sleep_ms(1_600);

    // The last heartbeat goes out and is delayed on its way; the back end does not wait for it.
    let sequence = 1_000;
    let sent_at = Instant::now();
    record.note(format!("i-leaves sends a heartbeat (ready, Sequence {sequence}), which is delayed on its way"));
    sleep_ms(100);
    let answer = controls.iter().find_map(|to| send(*to, "/instances/i-leaves/deregister", "").filter(|status| *status == 200));
    let acknowledged = Instant::now();
    record.note(format!("i-leaves deregisters: {answer:?}; it serves on for some seconds"));
    if answer != Some(200) || usual == 0 {
        site.finish(NOT_RUN);
    }
    sleep_ms(300);
    if has_trouble() {
        for process in site.control.iter_mut().chain(site.edges.iter_mut()) {
            process.kill();
        }
        for process in site.control.iter_mut().chain(site.edges.iter_mut()) {
            process.reap();
        }
        record.note("all processes of the system are killed");
        sleep_ms(700);
        for number in 0..3 {
            site.write_control_settings(number, false);
        }
        for process in site.control.iter_mut().chain(site.edges.iter_mut()) {
            process.start();
        }
        record.note("they are started again");
    }
    let started = Instant::now();
    sleep_ms(LATE.saturating_sub(sent_at.elapsed()).as_millis() as u64);
    let status = controls.iter().find_map(|to| send(*to, "/instances/i-leaves/heartbeat", &heartbeat(leaves, sequence)));
    record.note(format!("the delayed heartbeat arrives, {:.1} s late: {status:?}", sent_at.elapsed().as_secs_f64()));
    site.wait_ready(0, 8.0);
    let (served, sent) = traffic("after", Duration::from_secs(10));
    stop.store(true, Ordering::Relaxed);
    record.note(format!("after: {served} of {sent} requests served"));
    let arrivals = arrivals.lock().unwrap().clone();
    // Machines count as in touch from Contact after their start on.
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(at, _)| *at > acknowledged + DRAIN && *at > started + CONTACT)
        .collect();
    for (at, id) in late.iter().take(5) {
        record.note(format!("{id} reached i-leaves {:.2} s after its acknowledgement, {:.2} s after the start of the daemon", (*at - acknowledged).as_secs_f64(), at.duration_since(started).as_secs_f64()));
    }
    record.note(format!("DRAIN: {} requests reached i-leaves later than Drain after it was acknowledged as gone", late.len()));
    let code = if late.is_empty() { HELD } else { BROKEN };
    site.finish(code)
}
