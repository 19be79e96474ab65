//! Identifiers as distinct types, so that a zone can't be passed as a region.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

string_id!(
    /// A region: a group of zones that can fail or be drained together.
    RegionId
);
string_id!(
    /// A zone: a location of back ends and clients, between which traffic shares move.
    ZoneId
);
string_id!(
    /// A service that back ends implement, such as `bunkview`.
    ServiceId
);
string_id!(
    /// A back end, by its name in the platform list.
    BackendId
);

/// One incarnation of a daemon. After a restart the name is the same and the incarnation is
/// new, so that it counts as another holder of leases.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct DaemonId {
    /// Name from the settings.
    pub name: String,
    /// Start time in Unix milliseconds, which grows with each restart.
    pub incarnation: u64,
}

impl fmt::Display for DaemonId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.name, self.incarnation)
    }
}
