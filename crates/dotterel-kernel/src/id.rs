//! Identifiers that are shared between processes.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub CompactString);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

macro_rules! unique_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// Generates a new, globally unique identifier.
            #[must_use]
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Uuid::parse_str(text).map(Self)
            }
        }
    };
}

text_id! {
    /// The name of an entry node, unique in the settings of all nodes.
    NodeId
}
text_id! {
    /// The name of a VM that runs tasks.
    VmId
}
text_id! {
    /// The name of a data centre.
    DataCentre
}
text_id! {
    /// The name of a region.
    Region
}
text_id! {
    /// The name of a service, which is also the name of its document.
    Service
}
text_id! {
    /// The name of a team that owns documents.
    Team
}
text_id! {
    /// The idempotency key that a caller gave.
    CallerKey
}
number_id! {
    /// The fencing token of a worker lease; a VM refuses requests with any but the newest.
    Epoch
}
number_id! {
    /// The incarnation of an entry node; it increases with every restart.
    Incarnation
}
number_id! {
    /// The revision of an accepted document, counted from one.
    Revision
}
unique_id! {
    /// Identifies a caller's request.
    RequestId
}
unique_id! {
    /// Identifies one attempt to run a task on a VM; every retry gets a new one.
    TaskId
}
unique_id! {
    /// Identifies an accepted job.
    JobId
}
