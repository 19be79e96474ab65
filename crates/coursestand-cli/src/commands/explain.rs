//! `coursestand explain`: the story of one request from the logs of any number of
//! processes.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::arguments::ExplainOptions;
use crate::error::{FileSnafu, ToolError};

/// Beliefs that changed this long before a request are told with it.
const BELIEF_SECONDS: f64 = 10.0;
/// Fields that stand in the text of a line already.
const TOLD_FIELDS: [&str; 6] = ["time", "process", "level", "part", "message", "request"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    time: f64,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        // Whoever collects logs may put words of its own before each line.
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

    fn is_end(&self) -> bool {
        self.text("message") == "a request ended"
    }

    fn describe(&self) -> String {
        let mut text = self.text("message").to_owned();
        for (name, value) in &self.fields {
            if TOLD_FIELDS.contains(&name.as_str()) || value.is_null() {
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

/// What one read of the logs kept.
#[derive(Default)]
struct Kept {
    story: Vec<Line>,
    beliefs: Vec<Line>,
}

/// Lines that tell what a process believes.
const BELIEFS: [&str; 8] = [
    "a back end changed",
    "an entry daemon changed",
    "control process lost",
    "control process followed",
    "the catalog changed",
    "this daemon is ready",
    "a planned stop begins",
    "started",
];

fn read(file: &Path, request: &str, kept: &mut Kept) -> Result<(), ToolError> {
    let opened = File::open(file).context(FileSnafu { path: file })?;
    for line in BufReader::new(opened).lines() {
        let line = line.context(FileSnafu { path: file })?;
        let Some(line) = Line::parse(&line) else {
            continue;
        };
        let message = line.text("message");
        if line.text("request") == request {
            kept.story.push(line);
        } else if BELIEFS.iter().any(|belief| message.starts_with(belief)) {
            kept.beliefs.push(line);
        }
    }
    Ok(())
}

/// Prints the story of a request.
pub fn run(options: &ExplainOptions) -> Result<(), ToolError> {
    if options.files.is_empty() {
        return Err(ToolError::Usage {
            reason: "explain: give the request's identity and the log files".to_owned(),
        });
    }
    let mut kept = Kept::default();
    for file in &options.files {
        read(file, &options.request, &mut kept)?;
    }
    kept.story
        .sort_by(|left, right| left.time.total_cmp(&right.time));
    print!("{}", tell(&options.request, &kept));
    Ok(())
}

fn tell(request: &str, kept: &Kept) -> String {
    let mut text = format!("request {request}\n");
    let (Some(first), Some(last)) = (kept.story.first(), kept.story.last()) else {
        text.push_str(
            "cause: no process told of it. No daemon read it whole (refused or cut \
             connections, a daemon that was killed or cut off), or its line was left out\n",
        );
        return text;
    };
    let begin = begin_of(first);
    for line in &kept.story {
        let since_begin = ((line.time - begin) * 1000.0).max(0.0);
        let process = line.text("process");
        let _ = writeln!(
            text,
            "  {since_begin:>6.0} ms  {process} [{}] {}",
            line.text("part"),
            line.describe()
        );
    }
    let beliefs = beliefs_of(kept, begin, last.time);
    if !beliefs.is_empty() {
        text.push_str("beliefs that changed before or meanwhile:\n");
    }
    for line in beliefs {
        let _ = writeln!(
            text,
            "  {:>6.1} s   {} [{}] {}",
            line.time - begin,
            line.text("process"),
            line.text("part"),
            line.describe()
        );
    }
    let _ = writeln!(text, "cause: {}", cause(&kept.story));
    text
}

/// When the request came: its end tells how long it took.
fn begin_of(first: &Line) -> f64 {
    if first.is_end() {
        first.time - first.number("took_ms") as f64 / 1000.0
    } else {
        first.time
    }
}

/// The last change of each belief that bears on the request: on the back ends that
/// it was offered to, and of the daemons that had it.
fn beliefs_of(kept: &Kept, begin: f64, end: f64) -> Vec<&Line> {
    let instances: Vec<&str> = kept
        .story
        .iter()
        .map(|line| line.text("instance"))
        .collect();
    let processes: Vec<&str> = kept.story.iter().map(|line| line.text("process")).collect();
    let bears_on = |line: &Line| {
        let instance = line.text("instance");
        let of_back_end = !instance.is_empty() && instances.contains(&instance);
        let of_daemon = instance.is_empty() && processes.contains(&line.text("process"));
        let in_time = line.time >= begin - BELIEF_SECONDS && line.time <= end;
        in_time && (of_back_end || of_daemon)
    };
    let mut told: Vec<&Line> = Vec::new();
    let mut sorted: Vec<&Line> = kept.beliefs.iter().filter(|line| bears_on(line)).collect();
    sorted.sort_by(|left, right| left.time.total_cmp(&right.time));
    for line in sorted {
        // Several control processes tell the same change of a back end.
        let is_known = told.iter().any(|known| {
            known.text("instance") == line.text("instance")
                && !line.text("instance").is_empty()
                && known.text("phase") == line.text("phase")
                && known.number("sequence") == line.number("sequence")
        });
        if !is_known {
            told.push(line);
        }
    }
    told
}

/// The back ends for which the request got no token.
fn denials(story: &[Line]) -> String {
    let denied = story
        .iter()
        .filter(|line| line.text("message") == "no token for a rate-limited back end");
    let told: Vec<String> = denied
        .map(|line| {
            let limit = line.fields.get("limit_per_second").and_then(Value::as_f64);
            let limit = limit.map_or_else(String::new, |limit| format!(", {limit} a second"));
            format!(
                "{} ({}{limit})",
                line.text("instance"),
                line.text("outcome")
            )
        })
        .collect();
    if told.is_empty() {
        return String::new();
    }
    format!(": {}", told.join(", "))
}

/// The cause in one sentence.
fn cause(story: &[Line]) -> String {
    let failures: Vec<&Line> = story
        .iter()
        .filter(|line| line.text("message") == "an attempt failed")
        .collect();
    let Some(end) = story.iter().rev().find(|line| line.is_end()) else {
        return "the daemon that had it did not tell its end: it was killed or lost power with \
                the request, or the line was left out"
            .to_owned();
    };
    let tried = failures
        .iter()
        .map(|line| format!("{} ({})", line.text("instance"), line.text("outcome")))
        .collect::<Vec<_>>()
        .join(", ");
    let at = if tried.is_empty() {
        String::new()
    } else {
        format!("; failed attempts: {tried}")
    };
    let limit = end.number("limit_ms");
    let took = end.number("took_ms");
    let sentence = match end.text("outcome") {
        "served" if end.number("status") >= 400 => format!(
            "the back end {} itself answered {}",
            end.text("instance"),
            end.number("status")
        ),
        "served" => format!(
            "none: it was served by {} in {took} ms",
            end.text("instance")
        ),
        "busy" => "all back ends that know its object had more than they can work off; it was \
                   refused at once and has not run"
            .to_owned(),
        "backing-off" => "all back ends of its service had asked for a back-off; it was refused \
                          at once and has not run"
            .to_owned(),
        "rate-limited" => format!(
            "all back ends of its service were at the rate limit that they named{}; it was \
             refused at once and has not run",
            denials(story)
        ),
        "suspected" => "back ends ended under such requests, and one is run elsewhere to see; it \
                        has not run"
            .to_owned(),
        "convicted" => "too many back ends ended under such requests; it has not run".to_owned(),
        "shed" => {
            "back ends refused it unrun, and its attempts or the retry budget were spent".to_owned()
        }
        "unreachable" => "no connection to its back ends could be made; it has not run".to_owned(),
        "no-backend" => "its service had no back end that may be used".to_owned(),
        "no-route" => "no route of the catalog takes it".to_owned(),
        "no-catalog" => "the daemon had just started and held no configuration".to_owned(),
        "answer-lost" => {
            "the back end's answer was lost, cut or not its own; it may have run".to_owned()
        }
        "timed-out" => format!(
            "the back end {} gave no answer within the {limit} ms that it had; it may have run",
            end.text("instance")
        ),
        "caller-left" => format!("its caller left after {took} ms"),
        "stopping" => "the daemon was about to end for a planned stop".to_owned(),
        "deadline-passed" => "its deadline had passed before it was sent".to_owned(),
        "body-too-long" => "its body is longer than the limits allow".to_owned(),
        "body-broken" => "its caller broke off while sending the body".to_owned(),
        other => format!("outcome `{other}`"),
    };
    format!("{sentence}{at}")
}
