//! One of two back ends refuses a request twice, and the extra answer of its first refusal arrives
//! late, at the place where the answer to the third sending of the same request should come.
mod harness;

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use harness::*;

fn refusal(id: &str) -> String {
    format!("HTTP/1.1 429 Too Many Requests\r\nCoursestand-Request-Id: {id}\r\nCoursestand-Not-Executed: 1\r\nCoursestand-Server-Load: 0,0,4\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n")
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let Some(mut site) = Site::new(Path::new(&folder)) else { std::process::exit(NOT_RUN) };
    let record = site.record.clone();
    let trouble = has_trouble();
    site.start_control();
    site.start_edge();
    let attempts = std::env::var("ATTEMPTS").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let config = first_config("unsafe", attempts, 7);
    let taken = site.operate("POST", "/config/patch", &config, 10.0);
    if !taken.is_some_and(|answer| answer.status == 200) {
        record.note("no configuration was taken");
        site.finish(NOT_RUN);
    }
    let address = format!("{}.31:8080", site.net).parse().unwrap();
    // Per request id: sendings that arrived, and runs.
    let arrivals: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    // Per connection: the refusal whose extra answer is still to come.
    let extra: Arc<Mutex<HashMap<u64, String>>> = Arc::default();
    let (arrived, ran, noted) = (Arc::clone(&arrivals), Arc::clone(&runs), record.clone());
    let sound = format!("{}.32:8080", site.net).parse().unwrap();
    let is_up = serve(sound, |request, stream| {
        sleep_ms(20);
        stream.write_all(ok_answer(&request.id(), "1,0,4", "done").as_bytes()).is_ok()
    }) && serve(address, move |request, stream| {
        let id = request.id();
        let count = {
            let mut arrived = arrived.lock().unwrap();
            let count = arrived.entry(id.clone()).or_default();
            *count += 1;
            *count
        };
        let is_special = id.starts_with("special");
        if is_special {
            noted.note(format!("back end reads {id}, sending {count}, on connection {} as its request {}", request.connection, request.on_connection));
        }
        // An extra answer arrives late, at the place where the next answer should come.
        if let Some(late) = extra.lock().unwrap().remove(&request.connection) {
            noted.note(format!("back end's extra answer of its 429 for {id} arrives late on connection {}", request.connection));
            let _ = stream.write_all(late.as_bytes());
        }
        if is_special && count <= 2 {
            noted.note(format!("back end answers {id}: 429, Coursestand-Not-Executed"));
            if trouble && count == 1 {
                extra.lock().unwrap().insert(request.connection, refusal(&id));
            }
            return stream.write_all(refusal(&id).as_bytes()).is_ok();
        }
        *ran.lock().unwrap().entry(id.clone()).or_default() += 1;
        if is_special {
            noted.note(format!("back end runs {id}"));
        }
        sleep_ms(20);
        let answer = ok_answer(&id, "1,0,4", &format!("done {id}"));
        let is_sent = stream.write_all(answer.as_bytes()).is_ok();
        if is_special {
            noted.note(format!("back end answers {id}: 200, sent: {is_sent}"));
        }
        is_sent
    });
    if !is_up {
        record.note("the back end could not listen");
        site.finish(NOT_RUN);
    }
    let controls = (0..3).map(|number| site.control_address(number)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let controls: Vec<_> = controls;
    send_heartbeats(controls.clone(), "i-a1", "ledger", address, 4, Arc::clone(&stop));
    send_heartbeats(controls, "i-b2", "ledger", sound, 4, Arc::clone(&stop));
    if !site.wait_ready(0, 10.0) {
        record.note("the entry daemon is not ready");
        site.finish(NOT_RUN);
    }
    let front = site.front(0);
    sleep_ms(2_000);
    // An object whose requests go to the first back end.
    let goes_to_first = |key: &u32| {
        let id = format!("key-{key}");
        let _ = post(front, &id, &key.to_string());
        arrivals.lock().unwrap().contains_key(&id)
    };
    let Some(key) = (1_000..1_020).find(goes_to_first) else {
        record.note("no request reached the first back end");
        site.finish(NOT_RUN)
    };
    let key = key.to_string();
    let mut broken = 0;
    let mut tried = 0;
    for round in 0..4 {
        // Usual requests: each earns a tenth of a retry.
        let mut served = 0;
        let before = arrivals.lock().unwrap().len();
        for number in 0..100 {
            let answer = post(front, &format!("usual-{round}-{number}"), &number.to_string());
            served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
        }
        let at_first = arrivals.lock().unwrap().len() - before;
        record.note(format!("round {round}: {served} of 100 usual requests served, {at_first} at the first back end"));
        let id = format!("special-{round}");
        record.note(format!("client sends {id} (unsafe, MaxAttempts {attempts})"));
        let answer = post(front, &id, &key);
        let status = answer.as_ref().map(|answer| answer.status);
        record.note(format!("client gets for {id}: {status:?}"));
        sleep_ms(300);
        let arrived = arrivals.lock().unwrap().get(&id).copied().unwrap_or(0);
        let ran = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        record.note(format!("{id}: arrived {arrived} times, ran {ran} times"));
        if arrived >= 3 {
            tried += 1;
        }
        let promises = matches!(status, Ok(408 | 421 | 429 | 503));
        if promises && ran > 0 {
            record.note(format!("REFUSED: {id} got {status:?}, the promise that it never runs, and ran"));
            broken += 1;
        }
        if ran > 1 {
            record.note(format!("TWICE: {id} ran {ran} times"));
            broken += 1;
        }
    }
    stop.store(true, Ordering::Relaxed);
    record.note(format!("{tried} requests were sent three times, {broken} breaks"));
    let code = if tried == 0 { NOT_RUN } else if broken > 0 { BROKEN } else { HELD };
    site.finish(code)
}
