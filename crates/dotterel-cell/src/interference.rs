//! Which kinds of tasks run slower beside which, learned from the durations of runs.
//!
//! Durations are logarithms to base 2, relative to the usual duration and the speed of the VM.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use slotmap::{Key, SecondaryMap};

use crate::vm::VmKey;

/// Maximum number of kinds; sets of kinds have as many bits.
const MAX_KINDS: usize = 64;
/// A kind that has been seen more recently is not replaced by a new one.
const KIND_RETENTION: Millis = Millis::secs(10);
/// Bound on an observation: tasks that take seven times as long weigh little.
const MAX_RESIDUAL: f32 = 1.5;
/// Observations over which the average of runs without a kind moves, and its largest age.
const BASELINE_COUNT: f32 = 16.0;
const BASELINE_AGE: Millis = Millis::secs(30);
/// Largest number of observations; older ones weigh less from there on.
const MAX_COUNT: f32 = 64.0;
const MIN_COUNT: f32 = 8.0;
/// Share of a run beside a kind from which its VM counts as one on which the pair was observed, and
/// share that shows nothing about a pair.
const MOSTLY: f32 = 0.5;
const HARDLY: f32 = 0.05;
/// Least difference between the shares of both groups of runs by which the effect is scaled.
const MIN_SHARE_DIFFERENCE: f32 = 0.25;
/// The number of observations halves in this time without new ones.
const HALF_LIFE: Millis = Millis::secs(60);
/// Number of observations from which they are remembered; a single one ages too.
const MIN_KEPT_COUNT: f32 = 0.5;
/// A VM yields one observation of a pair in this time, and a pair needs observations from this many
/// VMs: a VM may turn slow for some seconds.
const VM_INTERVAL: Millis = Millis(2000);
const MIN_VMS: u32 = 3;
/// Least effect of a pair that is kept apart (a factor of 1.32), and the effect below which it no
/// longer is (1.15).
const MIN_EFFECT: f32 = 0.4;
const END_EFFECT: f32 = 0.2;
/// Effect in standard errors from which a pair is kept apart, and below which it no longer is. There
/// are up to 4,096 pairs, each judged many times. With 4.5, one of 20 cells found a disturber in noise.
const MIN_STANDARD_ERRORS: f32 = 5.0;
const END_STANDARD_ERRORS: f32 = 2.0;
/// Least standard deviation that is assumed.
const MIN_DEVIATION: f32 = 0.4;

/// A set of kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindSet(u64);

impl KindSet {
    /// Adds a kind.
    pub const fn insert(&mut self, kind: KindNo) {
        self.0 |= 1 << kind.0;
    }

    const fn contains(self, kind: usize) -> bool {
        self.0 & (1 << kind) != 0
    }

    /// Returns the kinds in at least one of the sets.
    #[must_use]
    pub const fn or(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns true if no kind is in both sets.
    #[must_use]
    pub const fn is_disjoint(self, other: Self) -> bool {
        self.0 & other.0 == 0
    }

    fn iter(self) -> impl Iterator<Item = usize> {
        (0..MAX_KINDS).filter(move |kind| self.contains(*kind))
    }
}

/// Number of a kind in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindNo(u8);

/// How long tasks of each kind have been on a VM, in ms.
type Times = [u32; MAX_KINDS];

/// The kind of a run, and what was on its VM before.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// Kind of the run; `None` if it isn't observed.
    pub kind: Option<KindNo>,
    before: Option<Box<(Millis, Times)>>,
}

/// The kinds on a VM, and for how long they have been there.
#[derive(Clone, Debug)]
struct Presence {
    kinds: KindSet,
    /// Kinds of which there are several tasks.
    several: KindSet,
    updated_at: Millis,
    times: Times,
    times_of_several: Times,
}

impl Presence {
    const fn new(now: Millis) -> Self {
        Self {
            kinds: KindSet(0),
            several: KindSet(0),
            updated_at: now,
            times: [0; MAX_KINDS],
            times_of_several: [0; MAX_KINDS],
        }
    }

    fn update(&mut self, now: Millis) {
        let elapsed = u32::try_from(now.since(self.updated_at).0).unwrap_or(u32::MAX);
        self.updated_at = now;
        for kind in self.kinds.iter() {
            self.times[kind] = self.times[kind].wrapping_add(elapsed);
        }
        for kind in self.several.iter() {
            self.times_of_several[kind] = self.times_of_several[kind].wrapping_add(elapsed);
        }
    }

    /// Returns how long each kind has been beside a run of `kind`, which doesn't count as beside itself.
    const fn beside(&self, kind: KindNo) -> Times {
        let mut times = self.times;
        times[kind.0 as usize] = self.times_of_several[kind.0 as usize];
        times
    }
}

/// Name of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KindName {
    /// Tasks of an image.
    Image(CompactString),
    /// Tasks of a queue's step, if they name no image.
    Step(CompactString, u16),
}

impl KindName {
    fn new(image: &str, queue: &str, step: u16) -> Self {
        if image.is_empty() {
            Self::Step(queue.into(), step)
        } else {
            Self::Image(image.into())
        }
    }

    fn is_of(&self, image: &str, queue: &str, step: u16) -> bool {
        match self {
            Self::Image(known) => known == image,
            Self::Step(known, number) => image.is_empty() && *number == step && known == queue,
        }
    }
}

#[derive(Clone, Debug)]
struct Kind {
    name: KindName,
    /// When the kind got its number.
    since: Millis,
    seen_at: Millis,
    /// Kinds that slow this one, and that it slows.
    slowed_by: KindSet,
    slows: KindSet,
}

/// What is known about the runs of one kind beside another one. Each run counts as beside it with the
/// share of its time for which it was, and as without it with the rest. Counting only runs that were
/// entirely with or without it would favour short ones.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    /// Number, mean and variance of the differences from the baseline, and mean share.
    count: f32,
    mean: f32,
    variance: f32,
    share: f32,
    aged_at: Millis,
    /// Moving average of runs without the other kind, their variance and mean share.
    baseline: f32,
    baseline_variance: f32,
    variance_count: f32,
    baseline_share: f32,
    baseline_count: f32,
    baseline_at: Millis,
    /// Number of runs that the baseline has moved over since the first difference.
    compared: f32,
    /// VMs observed, and those observed since `interval_at`, as sets of hashes.
    vms: u32,
    interval_vms: u32,
    interval_at: Millis,
}

impl Pair {
    /// Lets the number of observations halve with time.
    fn age(&mut self, now: Millis) {
        let age = now.since(self.aged_at).0 as f32 / HALF_LIFE.0 as f32;
        self.count *= (-age).exp2();
        self.aged_at = now;
        if self.count < MIN_KEPT_COUNT {
            self.vms = 0;
        }
    }

    fn add(&mut self, residual: f32, share: f32, vm: u32, now: Millis) {
        if share > HARDLY {
            self.add_beside(residual, share, vm, now);
        }
        if share < 1.0 - HARDLY {
            self.add_without(residual, share, now);
        }
    }

    fn add_without(&mut self, residual: f32, share: f32, now: Millis) {
        if now.since(self.baseline_at) > BASELINE_AGE {
            self.baseline_count = 0.0;
        }
        let weight = 1.0 - share;
        self.baseline_count = (self.baseline_count + weight).min(BASELINE_COUNT);
        self.compared = (self.compared + weight).min(MAX_COUNT);
        let step = weight / self.baseline_count;
        let deviation = residual - self.baseline;
        self.baseline += deviation * step;
        let spread = deviation * (residual - self.baseline);
        self.variance_count = (self.variance_count + weight).min(MAX_COUNT);
        self.baseline_variance += (spread - self.baseline_variance) * weight / self.variance_count;
        self.baseline_share += (share - self.baseline_share) * step;
        self.baseline_at = now;
    }

    fn add_beside(&mut self, residual: f32, share: f32, vm: u32, now: Millis) {
        let has_baseline = self.baseline_count >= BASELINE_COUNT * MOSTLY
            && now.since(self.baseline_at) <= BASELINE_AGE;
        if now.since(self.interval_at) >= VM_INTERVAL {
            self.interval_at = now;
            self.interval_vms = 0;
        }
        let vm = 1 << (vm % u32::BITS);
        if !has_baseline || self.interval_vms & vm != 0 {
            return;
        }
        self.age(now);
        if self.count < MIN_KEPT_COUNT {
            self.compared = self.baseline_count;
        }
        self.interval_vms |= vm;
        if share >= MOSTLY {
            self.vms |= vm;
        }
        let difference = residual - self.baseline;
        self.count = (self.count + share).min(MAX_COUNT);
        let step = (share / self.count).min(1.0);
        let deviation = difference - self.mean;
        self.mean += deviation * step;
        let spread = deviation * (difference - self.mean);
        self.variance += (spread - self.variance) * step;
        self.share += (share - self.share) * step;
    }

    /// Returns the difference that running beside the other kind all the time makes.
    const fn effect(&self) -> f32 {
        self.mean / (self.share - self.baseline_share).max(MIN_SHARE_DIFFERENCE)
    }

    /// Returns true if the pair should be kept apart, given whether it is.
    fn is_apart(&self, before: bool) -> bool {
        if self.count < MIN_KEPT_COUNT {
            return false;
        }
        // Few observations may agree by chance, so the larger variance counts.
        let variance = self.variance.max(self.baseline_variance);
        let deviation = variance.max(0.0).sqrt().max(MIN_DEVIATION);
        let error = deviation * (1.0 / self.count + 1.0 / self.compared.max(1.0)).sqrt();
        if before {
            return self.effect() >= END_EFFECT && self.mean >= error * END_STANDARD_ERRORS;
        }
        self.count >= MIN_COUNT
            && self.vms.count_ones() >= MIN_VMS
            && self.effect() >= MIN_EFFECT
            && self.mean >= error * MIN_STANDARD_ERRORS
    }
}

/// The duration of a run that is done.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Kind of the run, and what was on its VM before.
    pub neighbours: &'a Neighbours,
    /// Logarithm of the duration, relative to the usual one on this VM.
    pub residual: f32,
    /// The VM.
    pub vm: VmKey,
}

/// What is known about the interference between kinds of tasks.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    kinds: Vec<Kind>,
    /// A row for each kind that is slowed, with a column for each kind beside it.
    pairs: Vec<Pair>,
    any_apart: bool,
    on_vms: SecondaryMap<VmKey, Presence>,
}

impl Interference {
    /// Returns true if any kinds are to be kept apart.
    #[must_use]
    pub const fn keeps_apart(&self) -> bool {
        self.any_apart
    }

    /// Returns the number of a kind if it is observed.
    #[must_use]
    pub fn find(&self, image: &str, queue: &str, step: u16) -> Option<KindNo> {
        let mut names = self.kinds.iter().map(|kind| &kind.name);
        let at = names.position(|name| name.is_of(image, queue, step))?;
        u8::try_from(at).ok().map(KindNo)
    }

    /// Returns the number of a kind, which is added if there is space for it.
    pub fn find_or_add(
        &mut self,
        image: &str,
        queue: &str,
        step: u16,
        now: Millis,
    ) -> Option<KindNo> {
        if let Some(known) = self.find(image, queue, step) {
            self.kinds[usize::from(known.0)].seen_at = now;
            return Some(known);
        }
        if self.pairs.is_empty() {
            self.pairs = vec![Pair::default(); MAX_KINDS * MAX_KINDS];
        }
        let added = Kind {
            name: KindName::new(image, queue, step),
            since: now,
            seen_at: now,
            slowed_by: KindSet::default(),
            slows: KindSet::default(),
        };
        if self.kinds.len() < MAX_KINDS {
            self.kinds.push(added);
            return u8::try_from(self.kinds.len() - 1).ok().map(KindNo);
        }
        let kinds = self.kinds.iter().enumerate();
        let (at, oldest) = kinds.min_by_key(|(_, kind)| kind.seen_at)?;
        if now.since(oldest.seen_at) < KIND_RETENTION {
            return None;
        }
        self.kinds[at] = added;
        for other in 0..MAX_KINDS {
            self.pairs[at * MAX_KINDS + other] = Pair::default();
            self.pairs[other * MAX_KINDS + at] = Pair::default();
            self.set_apart(at, other, false);
            self.set_apart(other, at, false);
        }
        u8::try_from(at).ok().map(KindNo)
    }

    /// Records the kinds of the runs on a VM, one for each run.
    pub fn set_on_vm(&mut self, vm: VmKey, runs: impl Iterator<Item = KindNo>, now: Millis) {
        let Some(entry) = self.on_vms.entry(vm) else {
            return;
        };
        let presence = entry.or_insert_with(|| Presence::new(now));
        presence.update(now);
        presence.kinds = KindSet::default();
        presence.several = KindSet::default();
        for kind in runs {
            if presence.kinds.contains(usize::from(kind.0)) {
                presence.several.insert(kind);
            }
            presence.kinds.insert(kind);
        }
    }

    /// Returns the kinds on a VM.
    #[must_use]
    pub fn on_vm(&self, vm: VmKey) -> KindSet {
        self.on_vms.get(vm).map_or(KindSet(0), |vm| vm.kinds)
    }

    /// Returns the state of a run that has just been added to a VM.
    #[must_use]
    pub fn neighbours(&self, kind: Option<KindNo>, vm: VmKey) -> Neighbours {
        let presence = kind.zip(self.on_vms.get(vm));
        let before = presence.map(|(kind, vm)| Box::new((vm.updated_at, vm.beside(kind))));
        Neighbours { kind, before }
    }

    /// Returns the share of a run's time for which each kind was beside it.
    fn shares(&self, neighbours: &Neighbours, vm: VmKey) -> Option<(usize, [f32; MAX_KINDS])> {
        let kind = neighbours.kind?;
        let (started, before) = neighbours.before.as_deref()?;
        let presence = self.on_vms.get(vm)?;
        if *started < self.kinds[usize::from(kind.0)].since {
            return None;
        }
        let elapsed = presence.updated_at.since(*started).0.max(1) as f32;
        let mut shares = [0.0; MAX_KINDS];
        let times = presence.beside(kind);
        for (share, (now, before)) in shares.iter_mut().zip(times.iter().zip(before)) {
            *share = (now.wrapping_sub(*before) as f32 / elapsed).min(1.0);
        }
        Some((usize::from(kind.0), shares))
    }

    /// Returns the kinds that slow tasks of a kind, and those that are slowed by them.
    #[must_use]
    pub fn apart(&self, kind: KindNo) -> (KindSet, KindSet) {
        let kind = &self.kinds[usize::from(kind.0)];
        (kind.slowed_by, kind.slows)
    }

    /// Returns the logarithm of the factor by which the kinds beside a run are known to have slowed it.
    #[must_use]
    pub fn known_slowdown(&self, neighbours: &Neighbours, vm: VmKey) -> f32 {
        if !self.any_apart {
            return 0.0;
        }
        let shares = self.shares(neighbours, vm);
        shares.map_or(0.0, |(slowed, shares)| {
            self.explained(slowed, &shares, None)
        })
    }

    /// Returns the largest slowdown that a kind other than `except` explains.
    fn explained(&self, slowed: usize, shares: &[f32], except: Option<usize>) -> f32 {
        let known = self.kinds[slowed].slowed_by.iter();
        let others = known.filter(|other| Some(*other) != except);
        let effects =
            others.map(|other| self.pairs[slowed * MAX_KINDS + other].effect() * shares[other]);
        effects.fold(0.0, f32::max)
    }

    /// Learns from a run that is done.
    pub fn observe(&mut self, observation: &Observation<'_>, now: Millis) {
        let Observation {
            neighbours,
            residual,
            vm,
        } = *observation;
        let Some((slowed, shares)) = self.shares(neighbours, vm) else {
            return;
        };
        let started = neighbours.before.as_deref().map_or(now, |before| before.0);
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        // The lower half of the key is the index of the VM.
        let vm = (vm.data().as_ffi() & u64::from(u32::MAX)) as u32;
        for other in 0..self.kinds.len() {
            if started < self.kinds[other].since {
                continue;
            }
            // Of several kinds that slow a run, the one with the largest effect is held responsible.
            let explained = self.explained(slowed, &shares, Some(other));
            let pair = &mut self.pairs[slowed * MAX_KINDS + other];
            let left = if explained > pair.effect() * shares[other] {
                residual - explained
            } else {
                residual
            };
            pair.add(left, shares[other], vm, now);
            self.judge(slowed, other);
        }
    }

    /// Ages what is known.
    pub fn refresh(&mut self, now: Millis) {
        if !self.any_apart {
            return;
        }
        for slowed in 0..self.kinds.len() {
            for other in self.kinds[slowed].slowed_by.iter() {
                self.pairs[slowed * MAX_KINDS + other].age(now);
                self.judge(slowed, other);
            }
        }
    }

    /// Returns the names of the kinds that are kept apart, the slowed one first.
    pub fn kept_apart(&self) -> impl Iterator<Item = (&KindName, &KindName)> {
        self.kinds.iter().flat_map(move |slowed| {
            let others = slowed.slowed_by.iter();
            others.map(move |other| (&slowed.name, &self.kinds[other].name))
        })
    }

    fn judge(&mut self, slowed: usize, other: usize) {
        let before = self.kinds[slowed].slowed_by.contains(other);
        let after = self.pairs[slowed * MAX_KINDS + other].is_apart(before);
        if before != after {
            self.set_apart(slowed, other, after);
        }
    }

    fn set_apart(&mut self, slowed: usize, other: usize, apart: bool) {
        let set = |set: &mut KindSet, kind: usize| {
            if apart {
                set.0 |= 1 << kind;
            } else {
                set.0 &= !(1 << kind);
            }
        };
        set(&mut self.kinds[slowed].slowed_by, other);
        set(&mut self.kinds[other].slows, slowed);
        self.any_apart = self.kinds.iter().any(|kind| kind.slowed_by.0 != 0);
    }
}
