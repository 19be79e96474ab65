//! Reading JSON files with errors that name the file, the field, what was found
//! and what is allowed.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Reason for which a JSON document is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LoadError {
    /// The file could not be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The text is not JSON of the expected structure.
    #[snafu(display("{origin}: field `{path}`: {source}"))]
    Shape {
        /// File or other origin of the text.
        origin: String,
        /// Path of the field, such as `services[1].policy`.
        path: String,
        /// Cause, with what was found and what is allowed.
        source: serde_json::Error,
    },
    /// A field has the right type, but a value that is not allowed.
    #[snafu(display("{origin}: field `{path}`: found {found}, allowed: {allowed}"))]
    Value {
        /// File or other origin of the text.
        origin: String,
        /// Path of the field.
        path: String,
        /// Value that was found.
        found: String,
        /// Values that are allowed.
        allowed: String,
    },
}

/// A value that is not allowed, before the origin of the text is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Path of the field.
    pub path: String,
    /// Value that was found.
    pub found: String,
    /// Values that are allowed.
    pub allowed: String,
}

impl InvalidValue {
    /// Describes a field that is rejected.
    pub fn new(
        path: impl Into<String>,
        found: impl ToString,
        allowed: impl Into<String>,
    ) -> InvalidValue {
        InvalidValue {
            path: path.into(),
            found: found.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// A document that validates its values after it has been parsed.
pub trait Validate {
    /// Returns the first value that is not allowed.
    fn validate(&self) -> Result<(), InvalidValue>;
}

/// Parses and validates `text`; `origin` names it in errors.
pub fn parse<T: DeserializeOwned + Validate>(origin: &str, text: &str) -> Result<T, LoadError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let document: T =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| LoadError::Shape {
            origin: origin.to_owned(),
            path: error.path().to_string(),
            source: error.into_inner(),
        })?;
    deserializer.end().context(ShapeSnafu {
        origin,
        path: "end of text",
    })?;
    document.validate().map_err(|invalid| LoadError::Value {
        origin: origin.to_owned(),
        path: invalid.path,
        found: invalid.found,
        allowed: invalid.allowed,
    })?;
    Ok(document)
}

/// Reads, parses and validates the JSON file at `path`.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, LoadError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { file: path })?;
    parse(&path.display().to_string(), &text)
}
