//! `coursestand explain`: reconstructs the timeline of one request from the logs of any
//! number of processes and names the cause of its outcome.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::arguments::ExplainOptions;
use crate::error::{FileSnafu, ToolError};

/// State changes are printed if they occurred within this time before the request, in
/// seconds.
const STATE_CHANGE_WINDOW_S: f64 = 10.0;
/// Fields that are not repeated among the key-values of a printed line.
const PRINTED_FIELDS: [&str; 6] = ["time", "process", "level", "part", "message", "request"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    time: f64,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        // A log collector may prepend a prefix to each line.
        let start = text.find('{')?;
        let Value::Object(fields) = serde_json::from_str(&text[start..]).ok()? else {
            return None;
        };
        let time = fields.get("time")?.as_str()?.parse().ok()?;
        Some(Line { time, fields })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    fn is_evacuation_change(&self) -> bool {
        self.text("message") == EVACUATION_CHANGE
    }

    fn is_end(&self) -> bool {
        self.text("message") == "a request ended"
    }

    fn describe(&self) -> String {
        let mut text = self.text("message").to_owned();
        for (name, value) in &self.fields {
            if PRINTED_FIELDS.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            let value = match value {
                Value::String(value) => value.clone(),
                Value::Number(number) if number.is_f64() => {
                    format!("{:.2}", number.as_f64().unwrap_or_default())
                }
                other => other.to_string(),
            };
            // Writing to a string does not fail.
            let _ = write!(text, " {name}={value}");
        }
        text
    }
}

/// The relevant lines of the logs.
#[derive(Default)]
struct RelevantLines {
    request: Vec<Line>,
    state_changes: Vec<Line>,
}

/// Message of a replica that applied an order to evacuate a zone, or to end that.
const EVACUATION_CHANGE: &str = "the evacuation of a zone changed";

/// Prefixes of the messages that report a state change.
const STATE_CHANGES: [&str; 10] = [
    "the path to back ends changed",
    "a back end changed",
    "an entry daemon changed",
    "control process lost",
    "control process followed",
    "the catalog changed",
    EVACUATION_CHANGE,
    "this daemon is ready",
    "a planned stop begins",
    "started",
];

fn read(file: &Path, request: &str, lines: &mut RelevantLines) -> Result<(), ToolError> {
    let opened = File::open(file).context(FileSnafu { path: file })?;
    for line in BufReader::new(opened).lines() {
        let line = line.context(FileSnafu { path: file })?;
        let Some(line) = Line::parse(&line) else {
            continue;
        };
        let message = line.text("message");
        if line.text("request") == request {
            lines.request.push(line);
        } else if STATE_CHANGES
            .iter()
            .any(|prefix| message.starts_with(prefix))
        {
            lines.state_changes.push(line);
        }
    }
    Ok(())
}

/// Prints the timeline of a request and the cause of its outcome.
pub fn run(options: &ExplainOptions) -> Result<(), ToolError> {
    if options.files.is_empty() {
        return Err(ToolError::Usage {
            reason: "explain: give the request's identity and the log files".to_owned(),
        });
    }
    let mut lines = RelevantLines::default();
    for file in &options.files {
        read(file, &options.request, &mut lines)?;
    }
    lines
        .request
        .sort_by(|left, right| left.time.total_cmp(&right.time));
    print!("{}", render(&options.request, &lines));
    Ok(())
}

fn render(request: &str, lines: &RelevantLines) -> String {
    let mut text = format!("request {request}\n");
    let (Some(first), Some(last)) = (lines.request.first(), lines.request.last()) else {
        text.push_str(
            "cause: no log line names the request. No daemon received it completely (its \
             connection was refused or cut, or the daemon was killed or unreachable), or its \
             log lines were dropped\n",
        );
        return text;
    };
    let start = start_time(first);
    for line in &lines.request {
        let since_start = ((line.time - start) * 1000.0).max(0.0);
        let process = line.text("process");
        let _ = writeln!(
            text,
            "  {since_start:>6.0} ms  {process} [{}] {}",
            line.text("part"),
            line.describe()
        );
    }
    let changes = relevant_changes(lines, start, last.time);
    if !changes.is_empty() {
        text.push_str("state changes before or during the request:\n");
    }
    for line in changes {
        let _ = writeln!(
            text,
            "  {:>6.1} s   {} [{}] {}",
            line.time - start,
            line.text("process"),
            line.text("part"),
            line.describe()
        );
    }
    let _ = writeln!(text, "cause: {}", cause(&lines.request));
    text
}

/// Returns the time in seconds at which the request was received. If its first line is its
/// end, the time is calculated from the logged duration.
fn start_time(first: &Line) -> f64 {
    if first.is_end() {
        first.time - first.number("took_ms") as f64 / 1000.0
    } else {
        first.time
    }
}

/// Returns the state changes that concern the request, without duplicates: those of the back
/// ends to which it was sent, and those logged by the daemons that handled it.
fn relevant_changes(lines: &RelevantLines, start: f64, end: f64) -> Vec<&Line> {
    let instances: Vec<&str> = lines
        .request
        .iter()
        .map(|line| line.text("instance"))
        .collect();
    let processes: Vec<&str> = lines
        .request
        .iter()
        .map(|line| line.text("process"))
        .collect();
    let is_relevant = |line: &Line| {
        let instance = line.text("instance");
        let is_of_back_end = !instance.is_empty() && instances.contains(&instance);
        let is_of_daemon = instance.is_empty() && processes.contains(&line.text("process"));
        let is_in_window = line.time >= start - STATE_CHANGE_WINDOW_S && line.time <= end;
        is_in_window && (is_of_back_end || is_of_daemon || line.is_evacuation_change())
    };
    let mut changes: Vec<&Line> = Vec::new();
    let mut sorted: Vec<&Line> = lines
        .state_changes
        .iter()
        .filter(|line| is_relevant(line))
        .collect();
    sorted.sort_by(|left, right| left.time.total_cmp(&right.time));
    for line in sorted {
        // Several control processes log the same change of a back end or a zone.
        let is_duplicate = changes.iter().any(|earlier| {
            let is_same_back_end_change = earlier.text("instance") == line.text("instance")
                && !line.text("instance").is_empty()
                && earlier.text("phase") == line.text("phase")
                && earlier.number("sequence") == line.number("sequence");
            let is_same_zone_change = earlier.is_evacuation_change()
                && line.is_evacuation_change()
                && earlier.number("index") == line.number("index");
            is_same_back_end_change || is_same_zone_change
        });
        if !is_duplicate {
            changes.push(line);
        }
    }
    changes
}

/// Lists the back ends for which the request was denied a rate-limit token.
fn denials(lines: &[Line]) -> String {
    let denied = lines
        .iter()
        .filter(|line| line.text("message") == "no token for a rate-limited back end");
    let denials: Vec<String> = denied
        .map(|line| {
            let limit = line.fields.get("limit_per_second").and_then(Value::as_f64);
            let limit = limit.map_or_else(String::new, |limit| format!(", {limit} per second"));
            format!(
                "{} ({}{limit})",
                line.text("instance"),
                line.text("outcome")
            )
        })
        .collect();
    if denials.is_empty() {
        return String::new();
    }
    format!(": {}", denials.join(", "))
}

/// Returns the cause of the outcome as one sentence.
fn cause(lines: &[Line]) -> String {
    let failures: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text("message") == "an attempt failed")
        .collect();
    let Some(end) = lines.iter().rev().find(|line| line.is_end()) else {
        return "the daemon that handled it did not log its end: the daemon was killed or lost \
                power, or the log line was dropped"
            .to_owned();
    };
    let failed_attempts = failures
        .iter()
        .map(|line| format!("{} ({})", line.text("instance"), line.text("outcome")))
        .collect::<Vec<_>>()
        .join(", ");
    let at = if failed_attempts.is_empty() {
        String::new()
    } else {
        format!("; failed attempts: {failed_attempts}")
    };
    let limit_ms = end.number("limit_ms");
    let took_ms = end.number("took_ms");
    let sentence = match end.text("outcome") {
        "served" if end.number("status") >= 400 => format!(
            "the back end {} answered with status {}",
            end.text("instance"),
            end.number("status")
        ),
        "served" if !end.text("relayed_to").is_empty() => format!(
            "none: it was relayed to {} and served there in {took_ms} ms",
            end.text("relayed_to")
        ),
        "served" => format!(
            "none: it was served by {} in {took_ms} ms",
            end.text("instance")
        ),
        "busy" => {
            "all candidate back ends had more queued work than they can complete in time; it \
             was refused at once and has not run"
                .to_owned()
        }
        "backing-off" => "all back ends of its service had requested a back-off; it was refused \
                          at once and has not run"
            .to_owned(),
        "rate-limited" => format!(
            "all back ends of its service were at the rate limit that they announced{}; it was \
             refused at once and has not run",
            denials(lines)
        ),
        "suspected" => "such requests are suspected to crash back ends, and a trial of one runs \
                        elsewhere; it has not run"
            .to_owned(),
        "convicted" => {
            "such requests crashed too many back ends and are quarantined; it has not run"
                .to_owned()
        }
        "shed" => {
            "back ends refused it without running it, and its attempts or the retry budget were \
             exhausted"
                .to_owned()
        }
        "partitioned" => {
            "the daemon was partitioned from the back ends of its service, and no other \
                          daemon took it; it has not run"
                .to_owned()
        }
        "answered-by-peer" => format!(
            "the daemon was partitioned from the back ends of its service and relayed it to {}, \
             whose log has the reason of status {}",
            end.text("relayed_to"),
            end.number("status")
        ),
        "unreachable" => "no connection to its back ends could be made; it has not run".to_owned(),
        "link-full" => {
            "the link of the daemon's machine was full; it was refused before its body was read \
             and has not run"
                .to_owned()
        }
        "overloaded" => {
            "the daemon had no memory for it; it was refused before it was sent and has not run"
                .to_owned()
        }
        "headers-too-long" => "its headers are longer than the limits allow".to_owned(),
        "no-backend" => "its service had no usable back end".to_owned(),
        "no-route" => "no route of the catalog matches it".to_owned(),
        "no-catalog" => "the daemon had just started and had no catalog".to_owned(),
        "answer-lost" => {
            "the back end's answer was lost, truncated or belonged to another request; it may \
             have run"
                .to_owned()
        }
        "timed-out" => format!(
            "the back end {} gave no answer within the {limit_ms} ms time limit; it may have run",
            end.text("instance")
        ),
        "caller-left" => format!("its caller disconnected after {took_ms} ms"),
        "stopping" => "the daemon was in a planned stop".to_owned(),
        "deadline-passed" => "its deadline had passed before it was sent".to_owned(),
        "body-too-long" => "its body is longer than the limits allow".to_owned(),
        "body-broken" => "its caller closed the connection while sending the body".to_owned(),
        other => format!("outcome `{other}`"),
    };
    format!("{sentence}{at}")
}
