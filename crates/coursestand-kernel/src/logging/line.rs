//! Serializes one log line as a JSON object. It is written without an intermediate
//! `serde_json::Value`, because an entry daemon logs a line for each request.

use std::io::Write;
use std::time::Duration;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde::Serialize;

/// Reserved fields: key-values of a record can't overwrite them.
const RESERVED_FIELDS: [&str; 6] = ["time", "process", "level", "part", "message", "left_out"];
/// Initial buffer size in bytes; most lines fit into it.
const INITIAL_CAPACITY_BYTES: usize = 384;

struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    fn field(&mut self, name: &str, value: &impl Serialize) {
        let length_before = self.bytes.len();
        self.bytes.push(b',');
        let written = serde_json::to_writer(&mut self.bytes, name)
            .map(|()| self.bytes.push(b':'))
            .and_then(|()| serde_json::to_writer(&mut self.bytes, value));
        if written.is_err() {
            // Removes the partial field of a value that can't be serialized.
            self.bytes.truncate(length_before);
        }
    }
}

impl<'kvs> VisitSource<'kvs> for Writer {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let is_allowed = !RESERVED_FIELDS.contains(&key.as_str());
        if is_allowed {
            self.field(key.as_str(), &value);
        }
        Ok(())
    }
}

/// Returns the line for a record that `process` logged at `now`, the time since the Unix
/// epoch. `suppressed` is the number of lines of the same call site that the rate limit
/// dropped before it.
pub fn json_line(now: Duration, process: &str, record: &Record<'_>, suppressed: u32) -> String {
    let mut writer = Writer {
        bytes: Vec::with_capacity(INITIAL_CAPACITY_BYTES),
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
    if suppressed > 0 {
        writer.field("left_out", &suppressed);
    }
    // Visiting fails only if `visit_pair` does, and it always returns `Ok`.
    let _ = record.key_values().visit(&mut writer);
    writer.bytes.extend_from_slice(b"}\n");
    String::from_utf8(writer.bytes).unwrap_or_default()
}
