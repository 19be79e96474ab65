//! One log line as a JSON object, written without a tree of values in between:
//! an entry daemon writes one for each request.

use std::io::Write;
use std::time::Duration;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde::Serialize;

/// Fields of every line, which values of a message can't overwrite.
const OWN_FIELDS: [&str; 6] = ["time", "process", "level", "part", "message", "left_out"];
/// Bytes that most lines need.
const USUAL_BYTES: usize = 384;

struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    fn field(&mut self, name: &str, value: &impl Serialize) {
        let before = self.bytes.len();
        self.bytes.push(b',');
        let written = serde_json::to_writer(&mut self.bytes, name)
            .map(|()| self.bytes.push(b':'))
            .and_then(|()| serde_json::to_writer(&mut self.bytes, value));
        if written.is_err() {
            // A value that can't be JSON leaves no half of a field behind.
            self.bytes.truncate(before);
        }
    }
}

impl<'kvs> VisitSource<'kvs> for Writer {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let is_told = !OWN_FIELDS.contains(&key.as_str());
        if is_told {
            self.field(key.as_str(), &value);
        }
        Ok(())
    }
}

/// The line of a message that `process` logged `now` after the Unix epoch.
/// `left_out` counts lines of its kind that were not written before it.
pub fn json_line(now: Duration, process: &str, record: &Record<'_>, left_out: u32) -> String {
    let mut writer = Writer {
        bytes: Vec::with_capacity(USUAL_BYTES),
    };
    // Writing to a vector does not fail.
    let _ = write!(
        writer.bytes,
        "{{\"time\":\"{}.{:03}\"",
        now.as_secs(),
        now.subsec_millis()
    );
    writer.field("process", &process);
    writer.field("level", &record.level().as_str());
    writer.field("part", &record.target());
    match record.args().as_str() {
        Some(text) => writer.field("message", &text),
        None => writer.field("message", &record.args().to_string()),
    }
    if left_out > 0 {
        writer.field("left_out", &left_out);
    }
    // Visiting fails only where `visit_pair` fails.
    let _ = record.key_values().visit(&mut writer);
    writer.bytes.extend_from_slice(b"}\n");
    String::from_utf8(writer.bytes).unwrap_or_default()
}
