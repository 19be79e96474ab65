//! Durations in settings and configuration, written as a number with its unit.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;

use crate::Millis;

/// A duration, written as `1500ms` or `2.5s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, JsonSchema)]
#[schemars(with = "String")]
pub struct Span(pub Millis);

/// The text is not a valid duration.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("found `{text}`, allowed: a number followed by `ms` or `s`"))]
pub struct SpanError {
    /// The text.
    pub text: String,
}

impl Span {
    /// Returns the duration as [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        let failed = || SpanError {
            text: text.to_owned(),
        };
        let (number, factor) = match text.strip_suffix("ms") {
            Some(number) => (number, 1.0),
            None => (text.strip_suffix('s').ok_or_else(failed)?, 1000.0),
        };
        let value: f64 = number.trim().parse().map_err(|_| failed())?;
        let is_valid = value.is_finite() && value >= 0.0;
        if !is_valid {
            return Err(failed());
        }
        Ok(Span((value * factor).round() as Millis))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}ms", self.0)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
