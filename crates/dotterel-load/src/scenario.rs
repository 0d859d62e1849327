//! Definition of an experiment in TOML, and its validation.

use std::fmt;

use dotterel_kernel::{Kind, Millis, Size, Urgency};
use serde::Deserialize;

/// An experiment as deserialized from TOML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawScenario {
    /// Name of the experiment in tables.
    pub name: String,
    /// Seed for arrivals, run times and sizes.
    pub seed: u64,
    /// Duration of the replay.
    pub seconds: u64,
    /// Time at the start that is excluded from the results.
    pub warmup_s: u64,
    /// Offered loads, as fractions of all slots; each policy is replayed once per load.
    pub loads: Vec<f64>,
    /// Policies to compare, the baseline first.
    pub policies: Vec<RawPolicy>,
    /// Class that is also replayed without the others, as a reference.
    pub alone: Option<String>,
    /// Whether the VMs in use are compared with a lower bound.
    #[serde(default)]
    pub packing: bool,
    /// Maximum number of retries of a refused caller.
    #[serde(default)]
    pub retries: u32,
    /// Groups of identical VMs.
    pub workers: Vec<RawWorkers>,
    /// Classes of work.
    #[serde(rename = "class")]
    pub classes: Vec<RawClass>,
    /// Temporary rise of demand.
    pub crest: Option<RawCrest>,
    /// Teams that submit the work; one team without a quota by default.
    pub teams: Option<RawTeams>,
}

/// A policy as deserialized from TOML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPolicy {
    /// Name of the policy in tables.
    pub name: String,
    /// Plug-in names; by default those of the built-in policy `name`.
    pub plugins: Option<Vec<String>>,
}

/// A group of identical VMs.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkers {
    /// Number of VMs.
    pub count: u32,
    /// Task slots per VM.
    pub slots: u32,
    /// Connections per VM.
    pub connections: u32,
    /// CPU cores per VM.
    pub cores: f64,
    /// Memory per VM.
    pub memory_mb: u32,
    /// Accelerators per VM.
    #[serde(default)]
    pub accelerators: u32,
}

/// A class of work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClass {
    /// Name of the class.
    pub name: String,
    /// Kind of its tasks.
    pub kind: Kind,
    /// Priority of its start.
    pub urgency: Urgency,
    /// Start deadline after arrival.
    pub start_ms: u64,
    /// Median run time.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the run time.
    pub sigma: f64,
    /// Offered load as a fraction of all slots, independent of the experiment's load.
    pub share: Option<f64>,
    /// Fraction of the experiment's load that remains after all classes with a `share`.
    pub fill: Option<f64>,
    /// Fraction of tasks that are stragglers, which run much longer.
    #[serde(default)]
    pub straggler_part: f64,
    /// Run time of a straggler as a multiple of the ordinary run time.
    #[serde(default = "one")]
    pub straggler_factor: f64,
    /// Declared run time as a multiple of the mean.
    #[serde(default = "one")]
    pub declared: f64,
    /// CPU cores per task.
    pub cores: f64,
    /// Memory per task.
    pub memory_mb: u32,
    /// Accelerators per task.
    #[serde(default)]
    pub accelerators: u32,
    /// Maximum factor by which cores and memory of a task are above or below the class's.
    #[serde(default = "one")]
    pub size_spread: f64,
    /// Number of tasks per gang.
    #[serde(default = "single")]
    pub tasks: u32,
    /// Whether its demand follows the crest.
    #[serde(default)]
    pub swings: bool,
}

/// A temporary rise of demand: ramp up, plateau, ramp down.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCrest {
    /// Start of the ramp up.
    pub at_s: u64,
    /// Duration of each ramp, up and down.
    pub ramp_s: u64,
    /// Duration of the plateau.
    pub hold_s: u64,
    /// Demand at the plateau as a multiple of the ordinary demand.
    pub factor: f64,
}

/// Teams and their quotas.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeams {
    /// Number of teams with a quota.
    pub count: u32,
    /// Sum of the quotas as a multiple of all slots.
    pub quota: f64,
    /// Number of these teams whose demand is ten times the ordinary.
    pub floods: u32,
    /// Number of additional teams with a quota of zero.
    #[serde(default)]
    pub barred: u32,
}

/// A validated experiment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The fields of the TOML file.
    pub raw: RawScenario,
    /// Total slots of all VMs.
    pub slots: u32,
}

/// An invalid field of an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Name of the field or the class.
    pub field: String,
    /// Description of the allowed values.
    pub allowed: &'static str,
}

impl TryFrom<RawScenario> for Scenario {
    type Error = ScenarioError;

    fn try_from(raw: RawScenario) -> Result<Self, ScenarioError> {
        let ensure = |is_valid: bool, field: &str, allowed| {
            let field = field.to_owned();
            is_valid
                .then_some(())
                .ok_or(ScenarioError { field, allowed })
        };
        let slots = raw.workers.iter().map(|w| w.count * w.slots).sum();
        ensure(slots > 0, "workers", "at least one slot")?;
        ensure(raw.warmup_s < raw.seconds, "warmup_s", "less than seconds")?;
        ensure(!raw.policies.is_empty(), "policies", "at least one")?;
        let loads_are_positive = raw.loads.iter().all(|load| *load > 0.0);
        ensure(
            loads_are_positive && !raw.loads.is_empty(),
            "loads",
            "above zero",
        )?;
        for class in &raw.classes {
            let has_one_rate = class.share.is_some() != class.fill.is_some();
            ensure(has_one_rate, &class.name, "either share or fill")?;
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
    /// Returns the mean run time in milliseconds, stragglers included.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        let ordinary_mean = self.median_ms * (self.sigma * self.sigma / 2.0).exp();
        ordinary_mean * (1.0 + self.straggler_part * (self.straggler_factor - 1.0))
    }

    /// Returns the size of one task, before the random variation by `size_spread`.
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
    /// Returns the demand at `time` as a multiple of the ordinary demand.
    #[must_use]
    pub fn factor_at(&self, time: Millis) -> f64 {
        let ramp = self.ramp_s as f64 * 1000.0;
        let rise = (time.0 as f64 - self.at_s as f64 * 1000.0) / ramp;
        let fall = (self.plateau_end().0 as f64 + ramp - time.0 as f64) / ramp;
        let height = rise.min(fall).clamp(0.0, 1.0);
        1.0 + (self.factor - 1.0) * height
    }

    /// Returns the start of the plateau.
    #[must_use]
    pub const fn plateau_start(&self) -> Millis {
        Millis::secs(self.at_s + self.ramp_s)
    }

    /// Returns the end of the plateau.
    #[must_use]
    pub const fn plateau_end(&self) -> Millis {
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
