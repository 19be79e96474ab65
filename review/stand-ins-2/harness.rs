//! What the scripts of the second review share: the processes of a small deployment, an operator,
//! clients and back ends. It uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))),
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A process of the project, killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Option<Child>,
    command: Vec<String>,
    log: PathBuf,
}

impl Process {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        self.child = child.ok();
    }

    pub fn has_ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    /// SIGKILL, as quickly as possible.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.as_mut() {
            let _ = child.kill();
        }
    }

    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.reap();
    }
}

/// Where a small deployment runs: three control processes and some entry daemons.
pub struct Site {
    pub folder: PathBuf,
    pub net: String,
    pub control: Vec<Process>,
    pub edges: Vec<Process>,
    pub record: Record,
    program: PathBuf,
}

pub const CONTROL_PORT: u16 = 8544;
pub const DIRECTORY_PORT: u16 = 8546;
pub const FRONT_PORT: u16 = 8548;
pub const READY_PORT: u16 = 8542;
const ADMIN_PORT: u16 = 9464;
const PORTS: (u16, u16) = (7540, 7555);

/// Returns the first three numbers of a loopback network in which the ports are free.
fn free_net() -> Option<String> {
    let pid = std::process::id();
    for attempt in 0..50 {
        let net = format!("127.{}.{}", 90 + (pid / 250 + attempt) % 100, 1 + pid % 250);
        let is_free = (1..=20).all(|host| {
            [CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, ADMIN_PORT, PORTS.0, PORTS.1]
                .iter()
                .all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        });
        if is_free {
            return Some(net);
        }
    }
    None
}

impl Site {
    pub fn new(case: &Path) -> Option<Site> {
        let program = PathBuf::from("target/release/coursestandd");
        if !program.exists() {
            eprintln!("target/release/coursestandd is missing: run the build of deploy/system.toml");
            return None;
        }
        let record = Record::create(&case.join("record.txt"));
        let folder = std::env::temp_dir().join(format!("coursestand-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let net = free_net()?;
        Some(Site { folder, net, control: Vec::new(), edges: Vec::new(), record, program })
    }

    pub fn control_ip(&self, number: usize) -> String {
        format!("{}.{}", self.net, number + 1)
    }

    pub fn edge_ip(&self, number: usize) -> String {
        format!("{}.{}", self.net, number + 11)
    }

    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    /// The template of a role in `deploy/`, filled with the settings of a small deployment.
    fn settings(&self, name: &str, ip: &str, bootstrap: bool, role: &str) -> String {
        let seeds: Vec<String> = (0..3)
            .map(|number| format!("\"{}:{CONTROL_PORT}\"", self.control_ip(number)))
            .collect();
        format!(
            r#"{{"name":"{name}","zone":"z1","region":"r1","zones":{{"z1":"r1","z2":"r1"}},
"ip":"{ip}","internal_ports":[{},{}],"seeds":[{}],"bootstrap":{bootstrap},
"admin_listen":"{ip}:{ADMIN_PORT}",{role},"link_mbps":1000.0,
"bounds":{{"lost_disks":1,"heartbeat":"1500ms","stop":"6s","lookup_ttl":"5s","retry_ratio":0.2,
"retry_extra":60,"retry_window":"10s","cold_overage":1.5,"cold_slack":5}}}}"#,
            PORTS.0, PORTS.1, seeds.join(",")
        )
    }

    fn process(&self, name: &str, settings: &str) -> Process {
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("a settings file can be written");
        Process {
            name: name.to_owned(),
            child: None,
            command: vec![
                self.program.display().to_string(),
                "--fleet".to_owned(),
                file.display().to_string(),
                "--dialect".to_owned(),
                "platform".to_owned(),
            ],
            log: self.folder.join(format!("{name}.log")),
        }
    }

    pub fn write_control_settings(&self, number: usize, bootstrap: bool) -> (String, String) {
        let ip = self.control_ip(number);
        let folder = self.data_folder(number);
        let _ = fs::create_dir_all(&folder);
        let role = format!(
            r#""control":{{"listen":"{ip}:{CONTROL_PORT}","lookup_listen":"{ip}:{DIRECTORY_PORT}","data_folder":"{}"}}"#,
            folder.display()
        );
        let name = format!("core-{number}");
        let settings = self.settings(&name, &ip, bootstrap, &role);
        fs::write(self.folder.join(format!("{name}.json")), &settings).unwrap();
        (name, settings)
    }

    pub fn start_control(&mut self) {
        for number in 0..3 {
            let (name, settings) = self.write_control_settings(number, true);
            let mut process = self.process(&name, &settings);
            process.start();
            self.control.push(process);
        }
    }

    pub fn start_edge(&mut self) {
        let number = self.edges.len();
        let ip = self.edge_ip(number);
        let role = format!(
            r#""edge":{{"listen":"{ip}:{FRONT_PORT}","ready_listen":"{ip}:{READY_PORT}"}}"#
        );
        let name = format!("edge-{number}");
        let settings = self.settings(&name, &ip, true, &role);
        let mut process = self.process(&name, &settings);
        process.start();
        self.edges.push(process);
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.edge_ip(number)).parse().unwrap()
    }

    pub fn control_address(&self, number: usize) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.control_ip(number)).parse().unwrap()
    }

    /// Sends an operator's call to one process after the other until one answers with a status
    /// other than 408, 429 or 5xx. Follows a 307 twice.
    pub fn operate(&self, method: &str, path: &str, body: &str, limit_s: f64) -> Option<Answer> {
        let end = Instant::now() + Duration::from_secs_f64(limit_s);
        let mut number = 0;
        let mut pause = 100;
        while Instant::now() < end {
            let mut to = self.control_address(number % 3);
            let mut target = path.to_owned();
            for _ in 0..3 {
                let head = format!(
                    "{method} {target} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
                match ask(to, head.as_bytes(), Duration::from_millis(1_500)) {
                    Ok(answer) if answer.status == 307 => {
                        let location = answer.header("location").unwrap_or_default();
                        let rest = location.trim_start_matches("http://").to_owned();
                        let Some((host, path)) = rest.split_once('/') else { break };
                        let Ok(address) = host.parse() else { break };
                        to = address;
                        target = format!("/{path}");
                    }
                    Ok(answer) if answer.status < 500 && ![408, 429].contains(&answer.status) => {
                        return Some(answer);
                    }
                    _ => break,
                }
            }
            number += 1;
            sleep_ms(pause);
            pause = (pause * 3 / 2).min(500);
        }
        None
    }

    /// Waits until an entry daemon says that it is ready.
    pub fn wait_ready(&self, number: usize, limit_s: f64) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(limit_s);
        let ready: SocketAddr = format!("{}:{READY_PORT}", self.edge_ip(number)).parse().unwrap();
        while Instant::now() < end {
            let head = format!("GET /readyz HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
            if ask(ready, head.as_bytes(), Duration::from_secs(1)).is_ok_and(|a| a.status == 200) {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// Ends all processes and removes the temporary folder.
    pub fn finish(mut self, code: i32) -> ! {
        for process in self.control.iter_mut().chain(self.edges.iter_mut()) {
            process.reap();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        let verdict = match code {
            HELD => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.record.note(format!("end: {verdict} (exit {code})"));
        std::process::exit(code)
    }
}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends bytes on a new connection and reads one answer.
pub fn ask(to: SocketAddr, bytes: &[u8], limit: Duration) -> Result<Answer, String> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(limit)).ok();
    let _ = stream.set_nodelay(true);
    (&stream).write_all(bytes).map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(&stream);
    read_answer(&mut reader)
}

pub fn read_answer(reader: &mut impl BufRead) -> Result<Answer, String> {
    let mut line = String::new();
    reader.read_line(&mut line).map_err(|e| e.to_string())?;
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok()).ok_or("no answer")?;
    let headers = read_headers(reader)?;
    let find = |name: &str| headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.clone());
    let mut body = Vec::new();
    if let Some(length) = find("content-length") {
        body.resize(length.parse().map_err(|_| "a length")?, 0);
        reader.read_exact(&mut body).map_err(|e| e.to_string())?;
    } else if find("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).map_err(|e| e.to_string())?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| "a chunk's length")?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).map_err(|e| e.to_string())?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Answer { status, headers, body })
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>, String> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        let count = reader.read_line(&mut line).map_err(|e| e.to_string())?;
        if count == 0 {
            return Err("the connection ended".to_owned());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// A request as a back end reads it.
pub struct Request {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the connection, and of the request on it, from 1.
    pub connection: u64,
    pub on_connection: u64,
}

impl Request {
    pub fn id(&self) -> String {
        self.headers.get("coursestand-request-id").cloned().unwrap_or_default()
    }
}

/// Reads one request. `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead, connection: u64, on_connection: u64) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let headers: HashMap<String, String> = read_headers(reader)
        .ok()?
        .into_iter()
        .map(|(name, value)| (name.to_lowercase(), value))
        .collect();
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length").and_then(|text| text.parse().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request { line: line.trim_end().to_owned(), headers, body, connection, on_connection })
}

/// Starts a back end that gives each request to `handle` together with the connection.
/// `handle` returns whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> bool {
    let Ok(listener) = TcpListener::bind(address) else { return false };
    let handle = Arc::new(handle);
    let connections = AtomicU64::new(0);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let connection = connections.fetch_add(1, Ordering::Relaxed) + 1;
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                let mut count = 0;
                while let Some(request) = read_request(&mut reader, connection, count + 1) {
                    count += 1;
                    if !handle(&request, &mut writer) {
                        let _ = writer.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    true
}

pub fn ok_answer(id: &str, load: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nCoursestand-Request-Id: {id}\r\nCoursestand-Response-Signature: sig-{id}\r\nCoursestand-Server-Load: {load}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a back end's heartbeats, to one control process after the other, until `stop` is set.
pub fn send_heartbeats(
    controls: Vec<SocketAddr>,
    id: &str,
    service: &str,
    address: SocketAddr,
    capacity: u32,
    stop: Arc<AtomicBool>,
) {
    let (id, service) = (id.to_owned(), service.to_owned());
    thread::spawn(move || {
        let mut sequence = 0;
        while !stop.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                r#"{{"Address":"{address}","Info":{{"Service":"{service}","ConfigVersion":"v1","Zone":"z1","Capacity":{capacity}}},"Status":{{"State":"ready","Sequence":{sequence},"ColdRemaining":"0ms"}}}}"#
            );
            for control in &controls {
                let head = format!(
                    "POST /instances/{id}/heartbeat HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
                let answer = ask(*control, head.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                    break;
                }
            }
            sleep_ms(1_500);
        }
    });
}

/// The operator's first call: one route to one service.
pub fn first_config(kind: &str, max_attempts: u32, version: u32) -> String {
    format!(
        r#"{{"Upsert":{{"Routes":{{"Columns":["Name","Host","PathPrefix","Type","Timeout","TargetLatency","Priority","TrafficSplit","MaxAttempts","SessionAffinity","AllowedRegions","ConfigVersion","Service"],"Rows":[["r-pay","pay.example","/pay/","{kind}","3000ms","500ms",1,null,{max_attempts},true,[],"r{version}","ledger"]]}},"Services":{{"Columns":["Name","HealthCheckPath","MaxConnections","Protocol","Tls","ColdStart","ColdPerS","ConfigVersion"],"Rows":[["ledger","/healthz",360,"h1",false,"3s",9.2,"r{version}"]]}},"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms","ConfigVersion":"r{version}"}}}},"Remove":{{"Routes":[]}}}}"#
    )
}

/// A client's request on a new connection.
pub fn post(front: SocketAddr, id: &str, key: &str) -> Result<Answer, String> {
    let body = format!("booking {id}");
    let head = format!(
        "POST /pay/book HTTP/1.1\r\nHost: pay.example\r\nCoursestand-Request-Id: {id}\r\nCoursestand-Affinity-Key: {key}\r\nCoursestand-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    ask(front, head.as_bytes(), Duration::from_millis(3_600))
}
