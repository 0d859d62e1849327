//! Checks an operator's configuration before it is put in force, and compares it with the one in force.
//!
//! The checks work on decoded entries and name fields by [`Field`]; the adapter adds the platform's names and the
//! positions in the document. API keys are present as hashes only.

mod changes;
mod limits;
mod matching;

use compact_str::CompactString;
use dotterel_cell::TenantTerms;
use dotterel_kernel::Size;

pub use changes::{Change, Difference, DifferenceKind, compare};
pub use limits::SMALL_JOB_BYTES;

use crate::keys::KeyHash;
use crate::routes::{RequestLimits, Route};

/// The decoded entries of a configuration, in the order of the document. Malformed entries are left out.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// The version, if it is well-formed.
    pub version: Option<u64>,
    /// The queues.
    pub routes: Vec<RouteEntry>,
    /// Set if no queue was malformed.
    pub has_all_routes: bool,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// Set if the document has a list of services.
    pub lists_services: bool,
    /// Set if no service was malformed.
    pub has_all_services: bool,
    /// The tenants.
    pub tenants: Vec<TenantEntry>,
    /// Set if no tenant was malformed.
    pub has_all_tenants: bool,
    /// Set if the document lists tenants, well-formed or not.
    pub checks_keys: bool,
    /// Limits on callers' requests; `None` if they are malformed.
    pub limits: Option<RequestLimits>,
}

/// Fields that the node doesn't read, with their values.
pub type UnreadFields = Vec<(&'static str, String)>;

/// A queue.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Position in the document's list, from 0.
    pub position: usize,
    /// The queue.
    pub route: Route,
    /// Fields that only the platform reads.
    pub unread: UnreadFields,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Position in the document's list, from 0.
    pub position: usize,
    /// The service's name.
    pub name: CompactString,
    /// Fields that only the platform reads.
    pub unread: UnreadFields,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// Position in the document's list, from 0.
    pub position: usize,
    /// The tenant's name, weight and cap.
    pub terms: TenantTerms,
    /// Hashes of its API keys without empty ones, in the order of the document.
    pub keys: Vec<KeyHash>,
}

/// An entry of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The document itself.
    Document,
    /// The queue at this position.
    Route(usize),
    /// The service at this position.
    Service(usize),
    /// The tenant at this position.
    Tenant(usize),
    /// The limits on callers' requests.
    Limits,
}

/// A field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// The list of services.
    Services,
    /// The list of queues.
    Routes,
    /// The list of tenants.
    Tenants,
    /// Name of a queue, service or tenant.
    Name,
    /// Host of a queue's requests.
    Host,
    /// Prefix of their paths.
    Prefix,
    /// Service of a queue.
    Service,
    /// Maximum time for a response.
    Timeout,
    /// Fixed part of the objective.
    Target,
    /// Factor of the critical path in the objective.
    Stretch,
    /// Priority of a queue.
    Priority,
    /// Failed runs after which a job fails.
    MaxAttempts,
    /// Whether requests need no API key.
    Public,
    /// Terms of the advice service.
    Advice,
    /// Lifetime of a ticket.
    AdviceValidity,
    /// Weight of a tenant.
    Weight,
    /// Cap on CPU.
    CapCpu,
    /// Cap on memory.
    CapMemory,
    /// Cap on accelerators.
    CapAccelerators,
    /// API keys of a tenant.
    Keys,
    /// Maximum size of a body.
    MaxBody,
    /// Maximum size of the headers.
    MaxHead,
    /// Timeout for the headers.
    HeaderTimeout,
    /// How long a connection may be idle.
    IdleTimeout,
    /// A field that the node doesn't read.
    Unread(&'static str),
}

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The node rejects the entry, the entry can never match, or its jobs can't be served as it says.
    Error,
    /// The configuration works, but a part of it has no effect or an unusual one.
    Warning,
}

/// What is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry.
    pub subject: Subject,
    /// The field; `None` for the entry as a whole.
    pub field: Option<Field>,
    /// What is wrong, without an API key.
    pub text: String,
}

impl Finding {
    fn error(subject: Subject, field: Field, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            subject,
            field: Some(field),
            text: text.into(),
        }
    }

    fn warning(subject: Subject, field: Field, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(subject, field, text)
        }
    }
}

/// Checks a configuration. `smallest_task` is the size of the smallest usual task; zero in a resource if it isn't
/// known.
#[must_use]
pub fn check(draft: &Draft, smallest_task: Size) -> Vec<Finding> {
    let mut findings = Vec::new();
    if draft.version == Some(0) {
        findings.push(Finding::error(
            Subject::Document,
            Field::Version,
            "the version must be above 0: nodes take 0 for no configuration",
        ));
    }
    matching::check(draft, &mut findings);
    limits::check(draft, smallest_task, &mut findings);
    findings
}
