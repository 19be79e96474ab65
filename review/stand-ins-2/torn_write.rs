//! All machines lose power soon after a change went out. Of the record that each control process
//! was writing, the second write is on the disk and the first one is missing.
mod harness;

use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Length of the part of a record that the daemon writes first, with a write of its own.
const FIRST_WRITE: u64 = 12;
const RECOVERY_S: f64 = 15.0;

fn newest_segment(folder: &Path) -> Option<PathBuf> {
    let files = fs::read_dir(folder).ok()?.flatten().map(|entry| entry.path());
    files.filter(|path| path.extension().is_some_and(|e| e == "wal")).max()
}

fn length(path: &Path) -> u64 {
    fs::metadata(path).map_or(0, |data| data.len())
}

fn read_back(site: &Site, limit_s: f64) -> Option<Answer> {
    site.operate("GET", "/config/get", "", limit_s).filter(|answer| answer.status == 200)
}

/// Starts the control processes, and kills each as soon as it has written its log anew and before
/// it has removed the earlier file.
fn lose_power_again(site: &mut Site, record: &Record) {
    let mut caught = 0;
    for number in 0..3 {
        let folder = site.data_folder(number);
        let before = newest_segment(&folder);
        site.control[number].start();
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end && newest_segment(&folder) == before {}
        site.control[number].kill();
        site.control[number].reap();
        let both = before.as_ref().is_some_and(|path| path.exists()) && newest_segment(&folder) != before;
        caught += u32::from(both);
        record.note(format!("core-{number} starts and is killed while it starts; both files of its log are there: {both}"));
    }
    if caught < 2 {
        record.note("fewer than two were caught in between: try again");
        let _ = fs::remove_dir_all(&site.folder);
        std::process::exit(NOT_RUN);
    }
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
    record.note("operator: configuration r7 sent and acknowledged (200)");
    let address = format!("{}.31:8080", site.net).parse().unwrap();
    let is_up = serve(address, |request, stream| {
        stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
    });
    let controls = (0..3).map(|number| site.control_address(number)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    send_heartbeats(controls, "i-a1", "ledger", address, 4, Arc::clone(&stop));
    if !is_up || !site.wait_ready(0, 10.0) {
        record.note("the entry daemon is not ready");
        site.finish(NOT_RUN);
    }
    sleep_ms(3_000);
    let served = (0..20).filter(|n| post(site.front(0), &format!("before-{n}"), "1").is_ok_and(|a| a.status == 200)).count();
    record.note(format!("before: {served} of 20 requests served"));

    // What is on the disks, and has been for a while.
    let segments: Vec<PathBuf> = (0..3).filter_map(|n| newest_segment(&site.data_folder(n))).collect();
    if segments.len() < 3 || served < 20 {
        site.finish(NOT_RUN);
    }
    let mut synced: Vec<u64> = segments.iter().map(|path| length(path)).collect();
    let mut calm_since = Instant::now();
    while calm_since.elapsed() < Duration::from_millis(700) {
        sleep_ms(20);
        let now: Vec<u64> = segments.iter().map(|path| length(path)).collect();
        if now != synced {
            synced = now;
            calm_since = Instant::now();
        }
    }
    record.note(format!("logs of the control processes, calm for 0.7 s: {synced:?} bytes"));

    if has_trouble() {
        // A change goes out, and the power is lost while it is being written.
        let change = first_config("unsafe", 2, 9);
        let to = site.control_address(0);
        record.note("operator: sends configuration r9");
        let head = format!("POST /config/patch HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{change}", change.len());
        let sender = thread::spawn(move || ask(to, head.as_bytes(), Duration::from_secs(1)).map(|a| a.status));
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end {
            let grown = segments.iter().zip(&synced).filter(|(path, at)| length(path) > **at + FIRST_WRITE).count();
            if grown >= 2 {
                break;
            }
        }
        for process in site.control.iter_mut().chain(site.edges.iter_mut()) {
            process.kill();
        }
        for process in site.control.iter_mut().chain(site.edges.iter_mut()) {
            process.reap();
        }
        record.note("all machines have lost power");
        let answer = sender.join().ok();
        record.note(format!("operator: answer to r9: {answer:?}"));
        if matches!(answer, Some(Ok(200))) {
            // What was acknowledged is synced, and a loss of power may not touch it.
            record.note("r9 was acknowledged before the power was lost: try again");
            site.finish(NOT_RUN);
        }
        let disk = std::env::var("DISK").unwrap_or_else(|_| "first-missing".to_owned());
        for (number, (path, at)) in segments.iter().zip(&synced).enumerate() {
            let now = length(path);
            if now <= *at + FIRST_WRITE {
                record.note(format!("core-{number}: nothing was being written"));
                continue;
            }
            let mut file = OpenOptions::new().write(true).open(path).unwrap();
            let second = now - at - FIRST_WRITE;
            let mut zero = |from: u64, count: u64| {
                file.seek(SeekFrom::Start(from)).unwrap();
                file.write_all(&vec![0; count as usize]).unwrap();
            };
            let left = match disk.as_str() {
                "gone" => {
                    file.set_len(*at).unwrap();
                    "both writes are missing"
                }
                "second-missing" => {
                    zero(at + FIRST_WRITE, second);
                    "the first write is there, the second is missing"
                }
                "first-torn" => {
                    zero(at + FIRST_WRITE / 2, FIRST_WRITE / 2);
                    "half of the first write is there, and the second"
                }
                _ => {
                    zero(*at, FIRST_WRITE);
                    "the first write is missing, the second is there"
                }
            };
            record.note(format!("core-{number}: of the record after byte {at} ({FIRST_WRITE} and {second} bytes): {left}"));
        }
        sleep_ms(1_000);
        for number in 0..3 {
            site.write_control_settings(number, false);
        }
        if std::env::var("AGAIN").is_ok_and(|value| value == "1") {
            lose_power_again(&mut site, &record);
        }
        for process in site.control.iter_mut().chain(site.edges.iter_mut()) {
            process.start();
        }
        record.note("the power is back: all processes are started");
    }
    // The platform starts a process that ended again, after a short delay.
    let started = Instant::now();
    let mut ends = vec![0; 3];
    let mut found = None;
    while started.elapsed().as_secs_f64() < RECOVERY_S + 4.0 {
        found = read_back(&site, 0.5);
        if found.is_some() {
            break;
        }
        for (number, process) in site.control.iter_mut().enumerate() {
            if let Some(status) = process.has_ended() {
                ends[number] += 1;
                if ends[number] <= 2 {
                    let log = process.log_text();
                    let reason = log.rsplit_once("not started: ").map_or("", |(_, reason)| reason);
                    let reason = reason.lines().next().unwrap_or_default().trim_end_matches("\"}");
                    let reason = reason.replace(&site.folder.display().to_string(), "DATA");
                    record.note(format!("core-{number} ended by itself: {status}; not started: {reason}"));
                }
                process.reap();
                sleep_ms(200);
                process.start();
            }
        }
    }
    record.note(format!("the control processes ended by themselves {ends:?} times in {:.1} s", started.elapsed().as_secs_f64()));
    let config = found.map(|answer| answer.text());
    let holds = config.as_ref().is_some_and(|text| text.contains("r-pay") && (text.contains("\"r7\"") || text.contains("\"r9\"")));
    record.note(match &config {
        Some(text) => format!("operator: reads back {} bytes; the acknowledged route is there: {holds}", text.len()),
        None => "operator: no answer to GET /config/get".to_owned(),
    });
    if holds {
        site.wait_ready(0, 10.0);
        sleep_ms(1_600);
    }
    let served = (0..20).filter(|n| post(site.front(0), &format!("after-{n}"), "1").is_ok_and(|a| a.status == 200)).count();
    record.note(format!("after: {served} of 20 requests served"));
    stop.store(true, Ordering::Relaxed);
    let code = if holds { HELD } else { BROKEN };
    site.finish(code)
}
