//! One log line as a JSON object.

use std::time::Duration;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = serde_json::to_value(&value);
        // A value that can't be a JSON value is told by its text.
        let json = json.unwrap_or_else(|_| serde_json::Value::String(value.to_string()));
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// The line of a message that `process` logged `now` after the Unix epoch.
/// `left_out` counts lines of its kind that were not written before it.
pub fn json_line(now: Duration, process: &str, record: &Record<'_>, left_out: u32) -> String {
    let mut fields = Fields(Map::new());
    // Visiting fails only where `visit_pair` fails.
    let _ = record.key_values().visit(&mut fields);
    let mut line = Map::new();
    let seconds = format!("{}.{:03}", now.as_secs(), now.subsec_millis());
    line.insert("time".to_owned(), seconds.into());
    line.insert("process".to_owned(), process.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("part".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    if left_out > 0 {
        line.insert("left_out".to_owned(), left_out.into());
    }
    for (key, value) in fields.0 {
        line.entry(key).or_insert(value);
    }
    let mut text = serde_json::Value::Object(line).to_string();
    text.push('\n');
    text
}
