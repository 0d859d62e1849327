//! The document that a team writes for its service.
//!
//! [`RawDocument`] is the TOML as written. [`Document`] is the same after every value has been
//! checked; the two are joined by `TryFrom`, whose error names the field, the value and what is
//! allowed.

mod raw;

pub use raw::{RawClass, RawDocument, RawQuota, RawSize};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::field::FieldError;
use crate::id::{Service, Team};
use crate::size::Size;
use crate::time::Millis;

/// A checked document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The service that the document describes.
    pub service: Service,
    /// The team that owns it.
    pub team: Team,
    /// The most that the team's running tasks may hold together; none means no limit.
    pub quota: Option<Size>,
    /// The classes of work, sorted by name.
    pub classes: Vec<Class>,
}

/// How one class of a service's work is treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// The class's name in callers' paths.
    pub name: CompactString,
    /// How its work runs.
    pub kind: Kind,
    /// How much its start matters against that of other classes.
    pub urgency: Urgency,
    /// Whether a request may run more than once without harm.
    pub repeatable: bool,
    /// The longest that a request may wait for its start.
    pub start: Millis,
    /// The longest that a started task may run.
    pub timeout: Millis,
    /// The declared run time, often far off.
    pub typical: Millis,
    /// What one task takes of a VM.
    pub size: Size,
    /// How many tasks a gang or service has; one otherwise.
    pub tasks: u32,
    /// How far from the caller's data centre its work may run.
    pub spill: Spill,
    /// Whether a repeated request body under another key is flagged in the account.
    pub flag_duplicates: bool,
    /// How long idempotency keys are remembered.
    pub key_window: Millis,
    /// Who signs off on delayed work, if anyone.
    pub sign_off: Option<CompactString>,
}

/// How work of a class runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The caller waits for the answer.
    Interactive,
    /// Runs to its end some time later.
    Batch,
    /// All tasks start together or none does.
    Gang,
    /// Runs until it is cancelled.
    Service,
}

/// How much a start matters, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Goes before everything else.
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
    /// In the caller's data centre only.
    DataCentre,
    /// In the caller's region.
    Region,
    /// Anywhere; traffic between regions is paid for.
    Anywhere,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with its field, value and allowed range.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let raw: RawDocument = toml::from_str(text)
            .map_err(|err| FieldError::new("document", err.message(), "a document in TOML"))?;
        Self::try_from(raw)
    }

    /// Returns the class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        let index = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name))
            .ok()?;
        self.classes.get(index)
    }
}
