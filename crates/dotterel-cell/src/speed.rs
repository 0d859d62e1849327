//! Relative speeds of VMs, learned from the durations of runs.
//!
//! Durations and speeds are logarithms to base 2. Medians are used throughout: a few tasks take many
//! times as long as others of their kind, and must not make their VM appear slow.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use slotmap::SecondaryMap;

use crate::spec::TaskName;
use crate::vm::VmKey;

/// Maximum number of kinds of tasks; the least recently seen one is evicted.
const MAX_KINDS: usize = 256;
/// Samples kept of each kind and of each VM.
const SAMPLES: usize = 31;
/// Samples from which an estimate of a kind, or of a VM, is used.
const MIN_KIND_SAMPLES: usize = 5;
const MIN_VM_SAMPLES: usize = 9;
/// Latest samples by which a change is noticed, and how many of them have to agree. With 3 % of
/// outliers, three of five are outliers once in 3,700 times.
const RECENT: usize = 5;
const MIN_AGREEING: usize = 3;
/// Age from which a sample no longer shows the current speed; VMs are slow for some seconds.
const RECENT_AGE: Millis = Millis(5000);
/// Difference from the long-term estimate that counts as a change: a factor of two.
const CHANGE: f32 = 1.0;
/// Differences below this factor (1.23) count as none, as does less than this many standard errors.
const MIN_DIFFERENCE: f32 = 0.3;
const MIN_STANDARD_ERRORS: f32 = 3.0;
/// Factor from the median absolute deviation to the standard deviation of normally distributed
/// values, times that from the standard error of their mean to that of their median.
const DEVIATION_TO_ERROR: f32 = 1.4826 * 1.2533;
/// Time without new samples after which an estimate halves, so that a VM avoided for its speed is
/// tried again.
const HALF_LIFE: Millis = Millis::secs(20);
/// VMs differ in speed if one in this many does, or one is slower by a factor of two. With tasks that vary
/// by up to a factor of two either way, noise alone makes one in 50 VMs appear to differ.
const UNEVEN_DIVISOR: usize = 10;
const SLOW: SpeedLevel = SpeedLevel(-100);
/// Interval between two looks at the progress of a VM's runs, and number of runs looked at.
const LOOK_INTERVAL: Millis = Millis(1000);
pub(crate) const MAX_MARKS: usize = 8;
/// Percentage from which a run shows its usual pace, percentage at which it no longer does, and least
/// progress expected between two looks.
const MIN_PERCENT: u8 = 5;
const MAX_PERCENT: u8 = 99;
const MIN_EXPECTED: f32 = 3.0;
/// Number of lagging runs that show a slow VM at one look; fewer have to lag at two in succession.
const MIN_LAGGING: usize = 3;
/// Age from which a lag no longer shows the current speed.
const LAG_AGE: Millis = Millis(2500);
/// One in this many VMs is slower than those by which work is judged that goes to slow VMs.
const SLOWEST_DIVISOR: usize = 10;
/// Bound on the logarithm of a ratio.
const MAX_LOG: f32 = 10.0;

/// The latest samples of a quantity.
#[derive(Clone, Copy, Debug)]
struct Window<const N: usize> {
    values: [f32; N],
    count: usize,
    next: usize,
}

impl<const N: usize> Window<N> {
    const fn new() -> Self {
        Self {
            values: [0.0; N],
            count: 0,
            next: 0,
        }
    }

    const fn push(&mut self, value: f32) {
        self.values[self.next] = value;
        self.next = (self.next + 1) % N;
        if self.count < N {
            self.count += 1;
        }
    }

    /// Returns the median and its standard error.
    fn median(&self) -> (f32, f32) {
        let mut sorted = self.values;
        let sorted = &mut sorted[..self.count];
        let median = median_of(sorted);
        for value in sorted.iter_mut() {
            *value = (*value - median).abs();
        }
        let deviation = median_of(sorted);
        let count = f32::from(u16::try_from(self.count).unwrap_or(u16::MAX));
        (
            median,
            DEVIATION_TO_ERROR * deviation / count.max(1.0).sqrt(),
        )
    }
}

/// Sorts the values and returns their median; zero if there are none.
pub(crate) fn median_of(values: &mut [f32]) -> f32 {
    values.sort_unstable_by(f32::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        count if count % 2 == 1 => values[middle],
        _ => f32::midpoint(values[middle - 1], values[middle]),
    }
}

/// A kind of tasks whose durations are comparable, relative to their estimates.
#[derive(Clone, Debug)]
struct Kind {
    queue: CompactString,
    step: u16,
    ratios: Window<SAMPLES>,
    median: f32,
    seen_at: Millis,
}

/// The progress of a run, as last reported.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// Task that the run belongs to.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Progress in percent.
    pub percent: u8,
    /// Time at which the start was confirmed.
    pub started: Millis,
}

/// The progress of a run at a look.
#[derive(Clone, Copy, Debug)]
struct Mark {
    progress: RunProgress,
    /// Usual progress in percent per ms; `None` while the run is too young.
    pace: Option<f32>,
}

/// What the progress of a VM's runs shows. Only changes do: a run that has been slow from its beginning
/// may be a task that takes long.
#[derive(Clone, Debug, Default)]
struct Lag {
    looked_at: Millis,
    marks: Vec<Mark>,
    /// Looks in succession at which the runs lagged.
    lagging: u8,
    /// Logarithm of the change, if the VM has turned slow.
    found: Option<f32>,
}

impl Lag {
    /// Compares the progress since the last look with the usual pace of the runs.
    fn look(&mut self, runs: Vec<RunProgress>, reported: Millis) {
        let interval = reported.since(self.looked_at).0 as f32;
        let mut logs = Vec::new();
        let former: Vec<Option<Mark>> = runs.iter().map(|run| self.mark(run)).collect();
        for (run, mark) in runs.iter().zip(&former) {
            let Some((mark, pace)) = mark.and_then(|mark| Some((mark, mark.pace?))) else {
                continue;
            };
            let expected = pace * interval;
            if expected >= MIN_EXPECTED && run.percent < MAX_PERCENT {
                // The progress is reported in whole percents.
                let gained = run.percent.saturating_sub(mark.progress.percent);
                logs.push(((f32::from(gained) + 0.5) / expected).log2());
            }
        }
        let change = median_of(&mut logs);
        let is_lagging = !logs.is_empty() && change < -CHANGE;
        let marks = runs.into_iter().zip(former).map(|(progress, mark)| {
            let kept = mark.and_then(|mark| mark.pace).filter(|_| is_lagging);
            let elapsed = reported.since(progress.started).0.max(1) as f32;
            let is_known = progress.percent >= MIN_PERCENT;
            let average = is_known.then(|| f32::from(progress.percent) / elapsed);
            Mark {
                progress,
                pace: kept.or(average),
            }
        });
        self.marks = marks.collect();
        self.looked_at = reported;
        if !is_lagging {
            self.lagging = 0;
            self.found = None;
            return;
        }
        self.lagging = self.lagging.saturating_add(1);
        if self.lagging > 1 || logs.len() >= MIN_LAGGING {
            self.found = Some(change);
        }
    }

    /// Returns the mark of a run at the last look.
    fn mark(&self, run: &RunProgress) -> Option<Mark> {
        let is_same = |mark: &&Mark| (mark.progress.task, mark.progress.run) == (run.task, run.run);
        self.marks.iter().find(is_same).copied()
    }

    fn current(&self, now: Millis) -> Option<f32> {
        self.found.filter(|_| now.since(self.looked_at) <= LAG_AGE)
    }
}

/// What is known about the speed of a VM.
#[derive(Clone, Debug)]
struct VmSpeed {
    samples: Window<SAMPLES>,
    median: f32,
    error: f32,
    /// Latest samples, with the times of the ends.
    recent: [(Millis, f32); RECENT],
    next: usize,
    /// Latest start of a run that was not slower than usual.
    sound_start: Millis,
    seen_at: Millis,
    lag: Lag,
    /// Estimate relative to the median VM of the service.
    offset: f32,
    level: SpeedLevel,
}

impl VmSpeed {
    fn new() -> Self {
        Self {
            samples: Window::new(),
            median: 0.0,
            error: 0.0,
            recent: [(Millis::ZERO, 0.0); RECENT],
            next: 0,
            sound_start: Millis::ZERO,
            seen_at: Millis::ZERO,
            lag: Lag::default(),
            offset: 0.0,
            level: SpeedLevel::ORDINARY,
        }
    }

    fn push(&mut self, sample: f32, started: Millis, centre: f32, now: Millis) {
        let is_slow = sample - self.long_term().unwrap_or(centre) < -CHANGE;
        self.samples.push(sample);
        (self.median, self.error) = self.samples.median();
        self.seen_at = now;
        if !is_slow {
            self.sound_start = self.sound_start.max(started);
        } else if started <= self.sound_start {
            // A run that began no earlier was as fast as usual, so it is the task that takes long. Such runs
            // end last when a VM runs empty, several of them in succession.
            return;
        }
        self.recent[self.next] = (now, sample);
        self.next = (self.next + 1) % RECENT;
    }

    /// Returns the long-term estimate; `None` without enough evidence.
    fn long_term(&self) -> Option<f32> {
        (self.samples.count >= MIN_VM_SAMPLES).then_some(self.median)
    }

    /// Returns the current speed if the latest samples agree that it has changed from `usual`.
    fn changed(&self, usual: f32, now: Millis) -> Option<f32> {
        let mut values = [0.0; RECENT];
        for side in [-1.0, 1.0] {
            let mut count = 0;
            for (at, sample) in self.recent {
                let is_current = at > Millis::ZERO && now.since(at) <= RECENT_AGE;
                if is_current && (sample - usual) * side > CHANGE {
                    values[count] = sample;
                    count += 1;
                }
            }
            if count >= MIN_AGREEING {
                return Some(median_of(&mut values[..count]));
            }
        }
        None
    }

    /// Updates the estimate relative to `centre`, the median speed.
    fn update(&mut self, centre: f32, now: Millis) {
        let usual = self.long_term().unwrap_or(centre);
        if let Some(change) = self.lag.current(now) {
            self.offset = usual + change - centre;
            self.level = SpeedLevel::of(self.offset);
            return;
        }
        if let Some(changed) = self.changed(usual, now) {
            self.offset = changed - centre;
            self.level = SpeedLevel::of(self.offset);
            return;
        }
        let age = now.since(self.seen_at).0 as f32 / HALF_LIFE.0 as f32;
        self.offset = (usual - centre) * (-age).exp2();
        let band = MIN_DIFFERENCE.max(self.error * MIN_STANDARD_ERRORS);
        self.level = if self.offset.abs() < band {
            SpeedLevel::ORDINARY
        } else {
            SpeedLevel::of(self.offset)
        };
    }
}

/// Speed of a VM relative to the median VM of its service, in hundredths of a doubling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpeedLevel(i16);

impl SpeedLevel {
    /// As fast as most, or not known to differ.
    pub const ORDINARY: Self = Self(0);

    /// Returns the level of a VM that is faster by this many doublings.
    #[must_use]
    pub fn of(doublings: f32) -> Self {
        Self((doublings * 100.0).clamp(-1000.0, 1000.0).round() as i16)
    }

    /// Returns the level of a VM that is faster by this many hundredths of a doubling.
    #[must_use]
    pub const fn from_hundredths(hundredths: i16) -> Self {
        Self(hundredths)
    }

    /// Returns the level in hundredths of a doubling.
    #[must_use]
    pub const fn hundredths(self) -> i16 {
        self.0
    }

    /// Returns the speed in half doublings: VMs of one class count as equally fast.
    #[must_use]
    pub fn class(self) -> i8 {
        (f32::from(self.0) / 50.0).round() as i8
    }

    /// Returns the factor by which the VM is faster than the median one.
    #[must_use]
    pub fn factor(self) -> f32 {
        (f32::from(self.0) / 100.0).exp2()
    }
}

/// The speeds of a cell's VMs.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    /// Sorted by queue and step.
    kinds: Vec<Kind>,
    vms: SecondaryMap<VmKey, VmSpeed>,
    /// Median speed of the VMs of each service, sorted by service.
    centres: Vec<(CompactString, f32)>,
    uneven: bool,
    slow_level: SpeedLevel,
}

impl Speeds {
    /// Returns true if VMs differ in speed by more than chance explains.
    #[must_use]
    pub const fn is_uneven(&self) -> bool {
        self.uneven
    }

    /// Returns the speed of the slower VMs; some that have turned slow don't count.
    #[must_use]
    pub const fn slow_level(&self) -> SpeedLevel {
        self.slow_level
    }

    /// Returns the speed of a VM.
    #[must_use]
    pub fn level(&self, vm: VmKey) -> SpeedLevel {
        self.vms.get(vm).map_or(SpeedLevel::ORDINARY, |vm| vm.level)
    }

    /// Returns the usual duration of a queue's step on an ordinary VM as a multiple of the caller's
    /// estimate; `None` if it isn't known.
    #[must_use]
    pub fn ratio(&self, queue: &str, step: u16) -> Option<f32> {
        let at = self.find_kind(queue, step).ok()?;
        let kind = &self.kinds[at];
        (kind.ratios.count >= MIN_KIND_SAMPLES).then(|| kind.median.exp2())
    }

    /// Returns the logarithm of a run's duration relative to the usual one of its kind on this VM; `None`
    /// if that isn't known.
    #[must_use]
    pub fn residual(
        &self,
        vm: VmKey,
        service: &str,
        (queue, step): (&str, u16),
        (duration, estimate): (Millis, Millis),
    ) -> Option<f32> {
        let usual = self.ratio(queue, step)?.log2();
        let speed = self.vms.get(vm)?.long_term()? - self.centre(service);
        let ratio = duration.0.max(1) as f32 / estimate.0.max(1) as f32;
        Some(ratio.log2() - usual + speed)
    }

    /// Records that a run on a VM of `service` is done.
    pub fn record(
        &mut self,
        vm: VmKey,
        service: &str,
        (queue, step): (&str, u16),
        (duration, estimate): (Millis, Millis),
        now: Millis,
    ) {
        if estimate == Millis::ZERO {
            return;
        }
        let ratio = duration.0.max(1) as f32 / estimate.0 as f32;
        let log = ratio.log2().clamp(-MAX_LOG, MAX_LOG);
        let offset = self.vms.get(vm).map_or(0.0, |vm| vm.offset);
        let at = self.kind_at(queue, step, now);
        let kind = &mut self.kinds[at];
        kind.seen_at = now;
        let expected = (kind.ratios.count >= MIN_KIND_SAMPLES).then_some(kind.median);
        kind.ratios.push(log + offset);
        (kind.median, _) = kind.ratios.median();
        let Some(expected) = expected else {
            return;
        };
        let centre = self.centre(service);
        let Some(entry) = self.vms.entry(vm) else {
            return;
        };
        let vm = entry.or_insert_with(VmSpeed::new);
        let started = Millis(now.0.saturating_sub(duration.0));
        vm.push(expected - log, started, centre, now);
        vm.update(centre, now);
        self.uneven |= vm.level <= SLOW;
    }

    /// Looks at the progress of a VM's runs, as reported at `reported`.
    pub fn note_progress(&mut self, vm: VmKey, runs: Vec<RunProgress>, reported: Millis) {
        let Some(entry) = self.vms.entry(vm) else {
            return;
        };
        entry.or_insert_with(VmSpeed::new).lag.look(runs, reported);
    }

    /// Returns true if the progress of a VM's runs, as reported at `reported`, is due for a look.
    #[must_use]
    pub fn is_look_due(&self, vm: VmKey, reported: Millis) -> bool {
        let looked_at = self.vms.get(vm).map_or(Millis::ZERO, |vm| vm.lag.looked_at);
        reported >= looked_at + LOOK_INTERVAL
    }

    /// Ages the estimates, and relates them to the median VM of each service. `vms` are all VMs with
    /// their services.
    pub fn refresh<'a>(&mut self, vms: impl Iterator<Item = (VmKey, &'a str)>, now: Millis) {
        if self.vms.is_empty() {
            return;
        }
        let mut known: Vec<(&str, f32, VmKey)> = vms
            .filter_map(|(key, service)| {
                let speed = self.vms.get(key)?;
                Some((service, speed.long_term().unwrap_or(f32::NAN), key))
            })
            .collect();
        known.sort_unstable_by(|a, b| a.0.cmp(b.0).then(a.1.total_cmp(&b.1)));
        self.centres.clear();
        let mut levels = Vec::with_capacity(known.len());
        for group in known.chunk_by(|a, b| a.0 == b.0) {
            // NaN, which stands for VMs without enough evidence, sorts last.
            let count = group.partition_point(|(_, speed, _)| !speed.is_nan());
            let centre = if count == 0 { 0.0 } else { group[count / 2].1 };
            self.centres.push((group[0].0.into(), centre));
            for (.., key) in group {
                let vm = &mut self.vms[*key];
                vm.update(centre, now);
                levels.push(vm.level);
            }
        }
        levels.sort_unstable();
        let ordinary = SpeedLevel::ORDINARY;
        let differing = levels.iter().filter(|level| **level != ordinary);
        self.uneven = levels.first().is_some_and(|slowest| *slowest <= SLOW)
            || differing.count() * UNEVEN_DIVISOR > levels.len();
        let slow = levels.get(levels.len() / SLOWEST_DIVISOR);
        self.slow_level = slow.map_or(ordinary, |slow| (*slow).clamp(SLOW, ordinary));
    }

    fn centre(&self, service: &str) -> f32 {
        let at = self
            .centres
            .binary_search_by(|(known, _)| known.as_str().cmp(service));
        at.map_or(0.0, |at| self.centres[at].1)
    }

    fn find_kind(&self, queue: &str, step: u16) -> Result<usize, usize> {
        let key = (queue, step);
        let order = |kind: &Kind| (kind.queue.as_str(), kind.step).cmp(&key);
        self.kinds.binary_search_by(order)
    }

    /// Returns the position of a kind, which is added if it isn't known.
    fn kind_at(&mut self, queue: &str, step: u16, now: Millis) -> usize {
        if let Ok(at) = self.find_kind(queue, step) {
            return at;
        }
        if self.kinds.len() >= MAX_KINDS {
            let kinds = self.kinds.iter().enumerate();
            if let Some((oldest, _)) = kinds.min_by_key(|(_, kind)| kind.seen_at) {
                self.kinds.remove(oldest);
            }
        }
        let (Ok(at) | Err(at)) = self.find_kind(queue, step);
        let kind = Kind {
            queue: queue.into(),
            step,
            ratios: Window::new(),
            median: 0.0,
            seen_at: now,
        };
        self.kinds.insert(at, kind);
        at
    }
}
