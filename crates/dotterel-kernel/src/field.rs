//! Errors in documents and settings.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An invalid field of a document or of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, for example `class.bracket-count.size.cores` or `http.listen`.
    pub field: CompactString,
    /// The value found.
    pub value: CompactString,
    /// The allowed values.
    pub allowed: CompactString,
}

impl FieldError {
    /// Describes a value that its field does not allow.
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
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "field `{}`: got {}, allowed: {}",
            self.field, self.value, self.allowed
        )
    }
}

impl std::error::Error for FieldError {}
