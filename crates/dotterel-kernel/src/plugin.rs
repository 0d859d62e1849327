//! Plug-in traits and the plug-in registry.
//!
//! A plug-in registers a [`Plugin`] value with `inventory::submit!` in the file that defines it.
//! [`PolicySet::from_names`] selects plug-ins by name, so a new plug-in needs no central list.

use std::fmt;

use crate::document::{Kind, Urgency};
use crate::fate::Reason;
use crate::fleet::Vm;
use crate::scheduler::{Load, PendingTask};
use crate::size::Size;
use crate::time::Millis;

/// The properties of a task that plug-ins decide on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// How the work runs.
    pub kind: Kind,
    /// Urgency of the start.
    pub urgency: Urgency,
    /// Resources that one task takes.
    pub size: Size,
    /// Expected run time: the mean measured for the class, or else the declared one.
    pub expected_run: Millis,
    /// Whether the task counts as long work.
    pub is_long: bool,
}

/// A VM that is considered for a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a Vm,
    /// Free capacity of the VM.
    pub available: Size,
    /// Number of long tasks of the same class that run on the VM.
    pub replicas: u32,
    /// Whether the VM is reserved for another task that has waited long.
    pub reserved: bool,
}

/// The order in which VMs are scanned for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanOrder {
    /// The VMs with the highest utilisation first.
    FullestFirst,
    /// The VMs with the lowest utilisation first.
    EmptiestFirst,
}

/// Excludes VMs for a task.
pub trait Filter: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Returns true if the task may be placed on this VM.
    fn admits(&self, spec: &TaskSpec, candidate: &Candidate<'_>, load: &Load) -> bool;
}

/// Scores a VM for a task.
pub trait Score: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Returns the score of this VM; the VM with the highest sum over all plug-ins is selected.
    fn score(&self, spec: &TaskSpec, candidate: &Candidate<'_>, load: &Load) -> f64;

    /// Returns which VMs are likely to score highest, or none if the plug-in has no preference.
    fn scan_order(&self, _spec: &TaskSpec) -> Option<ScanOrder> {
        None
    }
}

/// Orders queued tasks.
pub trait Order: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Returns the sort key of a task; the lowest key is served first.
    fn sort_key(&self, task: &PendingTask, load: &Load) -> u64;
}

/// Decides whether a task is accepted.
pub trait Admission: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Accepts or refuses a task.
    ///
    /// # Errors
    ///
    /// Returns the reason that is reported to the caller.
    fn admit(&self, task: &PendingTask, load: &Load, now: Millis) -> Result<(), Reason>;
}

/// A plug-in of any kind.
pub enum AnyPlugin {
    /// See [`Filter`].
    Filter(Box<dyn Filter>),
    /// See [`Score`].
    Score(Box<dyn Score>),
    /// See [`Order`].
    Order(Box<dyn Order>),
    /// See [`Admission`].
    Admission(Box<dyn Admission>),
}

/// A registered plug-in.
#[derive(Clone, Copy)]
pub struct Plugin {
    /// The name used in settings.
    pub name: &'static str,
    /// Creates the plug-in.
    pub build: fn() -> AnyPlugin,
}

inventory::collect!(Plugin);

/// The plug-ins that a scheduler uses.
#[derive(Default)]
pub struct PolicySet {
    /// Called in order until one excludes the VM.
    pub filters: Vec<Box<dyn Filter>>,
    /// Their scores are added up.
    pub scores: Vec<Box<dyn Score>>,
    /// Only the first is used; without any, tasks are served in order of arrival.
    pub orders: Vec<Box<dyn Order>>,
    /// Called in order until one refuses the task.
    pub admissions: Vec<Box<dyn Admission>>,
}

/// A name under which no plug-in is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPlugin(pub String);

impl PolicySet {
    /// Creates the set from the names of registered plug-ins.
    ///
    /// # Errors
    ///
    /// Returns the first name under which no plug-in is registered.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Result<Self, UnknownPlugin> {
        let mut set = Self::default();
        for name in names {
            let plugin = inventory::iter::<Plugin>
                .into_iter()
                .find(|plugin| plugin.name == name)
                .ok_or_else(|| UnknownPlugin(name.to_owned()))?;
            set.push((plugin.build)());
        }
        Ok(set)
    }

    /// Returns the scan order for a task: that of the first score with a preference, or else the
    /// fullest VMs first.
    #[must_use]
    pub fn scan_order(&self, spec: &TaskSpec) -> ScanOrder {
        let mut preferences = self
            .scores
            .iter()
            .filter_map(|score| score.scan_order(spec));
        preferences.next().unwrap_or(ScanOrder::FullestFirst)
    }

    /// Adds a plug-in.
    pub fn push(&mut self, plugin: AnyPlugin) {
        match plugin {
            AnyPlugin::Filter(filter) => self.filters.push(filter),
            AnyPlugin::Score(score) => self.scores.push(score),
            AnyPlugin::Order(order) => self.orders.push(order),
            AnyPlugin::Admission(admission) => self.admissions.push(admission),
        }
    }
}

impl fmt::Debug for PolicySet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PolicySet")
            .field(
                "filters",
                &self
                    .filters
                    .iter()
                    .map(|plugin| plugin.name())
                    .collect::<Vec<_>>(),
            )
            .field(
                "scores",
                &self
                    .scores
                    .iter()
                    .map(|plugin| plugin.name())
                    .collect::<Vec<_>>(),
            )
            .field(
                "orders",
                &self
                    .orders
                    .iter()
                    .map(|plugin| plugin.name())
                    .collect::<Vec<_>>(),
            )
            .field(
                "admissions",
                &self.admissions.iter().map(|p| p.name()).collect::<Vec<_>>(),
            )
            .finish()
    }
}

impl fmt::Display for UnknownPlugin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no plug-in is registered under the name `{}`", self.0)
    }
}

impl std::error::Error for UnknownPlugin {}
