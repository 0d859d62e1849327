//! Faults in a document.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentError {
    /// Path of the faulty field, for example `class.bracket-count.size.cores`.
    pub field: CompactString,
    /// The value as written.
    pub value: CompactString,
    /// What is allowed there.
    pub allowed: CompactString,
}

impl DocumentError {
    /// Describes a value outside of what its field allows.
    #[must_use]
    pub fn new(
        field: impl Into<CompactString>,
        value: impl fmt::Display,
        allowed: impl Into<CompactString>,
    ) -> Self {
        Self {
            field: field.into(),
            value: compact_str::format_compact!("{value}"),
            allowed: allowed.into(),
        }
    }

    /// Describes text that is not a document in TOML at all.
    #[must_use]
    pub fn syntax(fault: &toml::de::Error) -> Self {
        Self::new("document", fault.message(), "a document in TOML")
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "field `{}`: got {}, allowed: {}",
            self.field, self.value, self.allowed
        )
    }
}

impl std::error::Error for DocumentError {}
