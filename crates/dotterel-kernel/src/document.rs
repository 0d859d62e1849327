//! The document that a team writes for its service.
//!
//! [`RawDocument`] is the TOML as written, [`Document`] the validated form. `TryFrom` converts one
//! to the other; its error names the field, the value and the allowed range.

mod raw;

pub use raw::{RawClass, RawDocument, RawQuota, RawSize};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::field::FieldError;
use crate::id::{Service, Team};
use crate::size::Size;
use crate::time::Millis;

/// A validated document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The service that the document describes.
    pub service: Service,
    /// The team that owns the service.
    pub team: Team,
    /// Limit on the capacity that all running tasks of the team hold together; none means no limit.
    pub quota: Option<Size>,
    /// The classes of work, sorted by name.
    pub classes: Vec<Class>,
}

/// Settings for one class of a service's work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class, as in request paths.
    pub name: CompactString,
    /// How the work runs.
    pub kind: Kind,
    /// Urgency of the start relative to other classes.
    pub urgency: Urgency,
    /// Whether a request may safely run more than once.
    pub repeatable: bool,
    /// Longest time that a request may wait before it starts.
    pub start: Millis,
    /// Longest time that a started task may run.
    pub timeout: Millis,
    /// Declared run time; often inaccurate.
    pub typical: Millis,
    /// Resources that one task takes.
    pub size: Size,
    /// Number of tasks of a gang or service; one for other kinds.
    pub tasks: u32,
    /// How far from the caller's data centre the work may run.
    pub spill: Spill,
    /// Whether requests with the same body but different keys are flagged in the account.
    pub flag_duplicates: bool,
    /// How long idempotency keys are remembered.
    pub key_window: Millis,
    /// Who signs off on delayed work, if anyone.
    pub sign_off: Option<CompactString>,
}

/// How the work of a class runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The caller waits for the response.
    Interactive,
    /// Runs to completion at a later time.
    Batch,
    /// All tasks start together, or none.
    Gang,
    /// Runs until it is cancelled.
    Service,
}

/// Urgency of a start, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Served before all other work.
    Urgent,
    /// Ordinary work.
    Normal,
    /// May wait until the night.
    Overnight,
}

/// How far from the caller work may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spill {
    /// Only in the caller's data centre.
    DataCentre,
    /// In the caller's region.
    Region,
    /// In any region; traffic between regions is charged for.
    Anywhere,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, with its value and allowed range.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let raw: RawDocument = toml::from_str(text)
            .map_err(|err| FieldError::new("document", err.message(), "a document in TOML"))?;
        Self::try_from(raw)
    }

    /// Returns the class with the given name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        let index = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name))
            .ok()?;
        self.classes.get(index)
    }
}
