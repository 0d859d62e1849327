//! Plug-in traits and their registry.
//!
//! A plug-in registers itself where it is defined, with `inventory::submit!` and a [`Plugin`]
//! value. [`PolicySet::from_names`] then picks plug-ins by name, so that adding one touches one file.

use std::fmt;

use crate::document::{Kind, Urgency};
use crate::fate::Reason;
use crate::fleet::Vm;
use crate::scheduler::{Load, PendingTask};
use crate::size::Size;
use crate::time::Millis;

/// What a task asks for, as the plug-ins see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// How the work runs.
    pub kind: Kind,
    /// How much its start matters.
    pub urgency: Urgency,
    /// What it takes of a VM.
    pub size: Size,
    /// The run time expected from earlier tasks of the class, or the declared one.
    pub expected_run: Millis,
    /// Whether it counts as long work.
    pub is_long: bool,
}

/// A VM that may take a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a Vm,
    /// What is free on it.
    pub available: Size,
    /// How many tasks of the same long-running service it runs already.
    pub replicas: u32,
    /// Whether it is kept clear for another task that has waited long.
    pub reserved: bool,
}

/// Which VMs a decision looks at first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanOrder {
    /// Those with the fewest free slots.
    FullestFirst,
    /// Those with the most free slots.
    EmptiestFirst,
}

/// Rules a VM out for a task.
pub trait Filter: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Returns false when the task must not go to this VM.
    fn admits(&self, spec: &TaskSpec, candidate: &Candidate<'_>, load: &Load) -> bool;
}

/// Rates a VM for a task.
pub trait Score: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Returns a rating; the highest sum over all scores wins.
    fn score(&self, spec: &TaskSpec, candidate: &Candidate<'_>, load: &Load) -> f64;

    /// Returns which VMs are likely to be rated highest, or none when the score has no say.
    fn scan_order(&self, _spec: &TaskSpec) -> Option<ScanOrder> {
        None
    }
}

/// Orders waiting tasks.
pub trait Order: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Returns the sort key of a waiting task; the lowest goes first.
    fn sort_key(&self, task: &PendingTask, load: &Load) -> u64;
}

/// Decides whether a task may wait at all.
pub trait Admission: Send + Sync {
    /// Returns the name used in settings and decision logs.
    fn name(&self) -> &'static str;

    /// Admits a task to the queue or tells why not.
    ///
    /// # Errors
    ///
    /// Returns the reason that the caller is told.
    fn admit(&self, task: &PendingTask, load: &Load, now: Millis) -> Result<(), Reason>;
}

/// A plug-in of any sort.
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
    /// Builds the plug-in.
    pub build: fn() -> AnyPlugin,
}

inventory::collect!(Plugin);

/// The plug-ins that a scheduler consults.
#[derive(Default)]
pub struct PolicySet {
    /// Consulted in order until one rules the VM out.
    pub filters: Vec<Box<dyn Filter>>,
    /// Summed.
    pub scores: Vec<Box<dyn Score>>,
    /// The first decides; arrival order without one.
    pub orders: Vec<Box<dyn Order>>,
    /// Consulted in order until one refuses.
    pub admissions: Vec<Box<dyn Admission>>,
}

/// A policy name that no plug-in registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPlugin(pub String);

impl PolicySet {
    /// Builds the set from registered plug-ins.
    ///
    /// # Errors
    ///
    /// Returns the first name that no plug-in carries.
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

    /// Returns which VMs to look at first for a task: the first score with a say decides.
    #[must_use]
    pub fn scan_order(&self, spec: &TaskSpec) -> ScanOrder {
        let mut preferences = self
            .scores
            .iter()
            .filter_map(|score| score.scan_order(spec));
        preferences.next().unwrap_or(ScanOrder::FullestFirst)
    }

    /// Adds one plug-in.
    pub fn push(&mut self, part: AnyPlugin) {
        match part {
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
                    .map(|part| part.name())
                    .collect::<Vec<_>>(),
            )
            .field(
                "scores",
                &self
                    .scores
                    .iter()
                    .map(|part| part.name())
                    .collect::<Vec<_>>(),
            )
            .field(
                "orders",
                &self
                    .orders
                    .iter()
                    .map(|part| part.name())
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
