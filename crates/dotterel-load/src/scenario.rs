//! An experiment as written in TOML, and its check.

use std::fmt;

use dotterel_kernel::{Kind, Millis, Size, Urgency};
use serde::Deserialize;

/// An experiment as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawScenario {
    /// The name used in tables.
    pub name: String,
    /// Seeds arrivals, run times and sizes.
    pub seed: u64,
    /// How long work arrives.
    pub seconds: u64,
    /// How much of that time is left out of the figures.
    pub warmup_s: u64,
    /// Offered work as parts of all slots; one replay of each policy for each.
    pub loads: Vec<f64>,
    /// What is compared, the baseline first.
    pub policies: Vec<RawPolicy>,
    /// A class that is also replayed on its own, for reference.
    pub alone: Option<String>,
    /// Whether VMs in use are counted against the fewest possible.
    #[serde(default)]
    pub packing: bool,
    /// How often a refused caller comes back.
    #[serde(default)]
    pub retries: u32,
    /// The VMs.
    pub workers: Vec<RawWorkers>,
    /// The work.
    #[serde(rename = "class")]
    pub classes: Vec<RawClass>,
    /// A sudden rise of the demand.
    pub crest: Option<RawCrest>,
    /// Teams that share the work; one without quota if left out.
    pub teams: Option<RawTeams>,
}

/// A policy as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPolicy {
    /// The name used in tables.
    pub name: String,
    /// Plug-in names; the set of that name if left out.
    pub plugins: Option<Vec<String>>,
}

/// Equal VMs.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkers {
    /// How many.
    pub count: u32,
    /// Task slots of each.
    pub slots: u32,
    /// Connections of each.
    pub connections: u32,
    /// Processor cores of each.
    pub cores: f64,
    /// Memory of each.
    pub memory_mb: u32,
    /// Accelerators of each.
    #[serde(default)]
    pub accelerators: u32,
}

/// A class of work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClass {
    /// Its name.
    pub name: String,
    /// How it runs.
    pub kind: Kind,
    /// How much its start matters.
    pub urgency: Urgency,
    /// The longest it may wait.
    pub start_ms: u64,
    /// The median run time.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the run time.
    pub sigma: f64,
    /// The part of all slots that it asks for, whatever the load.
    pub share: Option<f64>,
    /// Its part of what other classes leave of the load.
    pub fill: Option<f64>,
    /// The part of its tasks that run many times longer.
    #[serde(default)]
    pub straggler_part: f64,
    /// How many times longer stragglers run.
    #[serde(default = "one")]
    pub straggler_factor: f64,
    /// The declared run time as a multiple of the mean.
    #[serde(default = "one")]
    pub declared: f64,
    /// Cores of one task.
    pub cores: f64,
    /// Memory of one task.
    pub memory_mb: u32,
    /// Accelerators of one task.
    #[serde(default)]
    pub accelerators: u32,
    /// Sizes vary between tasks by up to this factor, up and down.
    #[serde(default = "one")]
    pub size_spread: f64,
    /// Tasks of a gang.
    #[serde(default = "single")]
    pub tasks: u32,
    /// Whether its demand rises with the crest.
    #[serde(default)]
    pub swings: bool,
}

/// A sudden rise of the demand.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCrest {
    /// When it begins.
    pub at_s: u64,
    /// How long it rises, and falls again.
    pub ramp_s: u64,
    /// How long it lasts in between.
    pub hold_s: u64,
    /// How many times the ordinary demand it reaches.
    pub factor: f64,
}

/// Teams.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeams {
    /// How many.
    pub count: u32,
    /// The sum of their quotas as a multiple of all slots.
    pub quota: f64,
    /// How many of them ask for ten times their part.
    pub floods: u32,
    /// How many further teams have a quota of zero.
    #[serde(default)]
    pub barred: u32,
}

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// As written.
    pub raw: RawScenario,
    /// Slots of all VMs.
    pub slots: u32,
}

/// A fault in an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The faulty field.
    pub field: String,
    /// What is allowed there.
    pub allowed: &'static str,
}

impl TryFrom<RawScenario> for Scenario {
    type Error = ScenarioError;

    fn try_from(raw: RawScenario) -> Result<Self, ScenarioError> {
        let ensure = |right: bool, field: &str, allowed| {
            let field = field.to_owned();
            right.then_some(()).ok_or(ScenarioError { field, allowed })
        };
        let slots = raw.workers.iter().map(|w| w.count * w.slots).sum();
        ensure(slots > 0, "workers", "at least one slot")?;
        ensure(raw.warmup_s < raw.seconds, "warmup_s", "less than seconds")?;
        ensure(!raw.policies.is_empty(), "policies", "at least one")?;
        let loads = raw.loads.iter().all(|load| *load > 0.0);
        ensure(loads && !raw.loads.is_empty(), "loads", "above zero")?;
        for class in &raw.classes {
            let one = class.share.is_some() != class.fill.is_some();
            ensure(one, &class.name, "either share or fill")?;
            ensure(
                class.median_ms >= 1.0,
                &class.name,
                "median_ms of 1 or more",
            )?;
            ensure(
                class.size_spread >= 1.0,
                &class.name,
                "size_spread of 1 or more",
            )?;
        }
        Ok(Self { raw, slots })
    }
}

impl RawClass {
    /// Returns the mean run time in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        let body = self.median_ms * (self.sigma * self.sigma / 2.0).exp();
        body * (1.0 + self.straggler_part * (self.straggler_factor - 1.0))
    }

    /// Returns the size of one task before its variation.
    #[must_use]
    pub fn size(&self) -> Size {
        Size {
            milli_cores: (self.cores * 1000.0) as u32,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
            slots: 1,
            connections: 1,
        }
    }
}

impl RawWorkers {
    /// Returns the capacity of one VM.
    #[must_use]
    pub fn capacity(&self) -> Size {
        Size {
            milli_cores: (self.cores * 1000.0) as u32,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
            slots: self.slots,
            connections: self.connections,
        }
    }
}

impl RawCrest {
    /// Returns the demand at a time as a multiple of the ordinary one.
    #[must_use]
    pub fn factor_at(&self, time: Millis) -> f64 {
        let ramp = self.ramp_s as f64 * 1000.0;
        let rise = (time.0 as f64 - self.at_s as f64 * 1000.0) / ramp;
        let fall = (self.end().0 as f64 + ramp - time.0 as f64) / ramp;
        let height = rise.min(fall).clamp(0.0, 1.0);
        1.0 + (self.factor - 1.0) * height
    }

    /// Returns when the full height is reached.
    #[must_use]
    pub const fn top(&self) -> Millis {
        Millis::secs(self.at_s + self.ramp_s)
    }

    /// Returns when the demand begins to fall.
    #[must_use]
    pub const fn end(&self) -> Millis {
        Millis::secs(self.at_s + self.ramp_s + self.hold_s)
    }
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field `{}`: allowed: {}", self.field, self.allowed)
    }
}

impl std::error::Error for ScenarioError {}

const fn one() -> f64 {
    1.0
}

const fn single() -> u32 {
    1
}
