//! Logs what the cell has decided, and on what ground.
//!
//! Lines about a task name it, and carry the ground themselves: a record of one request holds no others.
//! `renewed_ms_ago` is the time since the last renewal of the leadership that succeeded was sent; the
//! leader's own lease counts from there.

use compact_str::{CompactString, format_compact};
use dotterel_cell::Cell;
use dotterel_cell::cell::{CellEvent, CrashVerdict, LostVm};
use dotterel_cell::job::FormerRun;
use dotterel_kernel::Millis;

use super::Scheduler;
use crate::platform::Platform;

/// Lost runs logged for each VM; a crash of many VMs must not fill the log.
const MAX_LOGGED_LOST_RUNS: usize = 32;
/// A leader that has not been renewed for longer is logged: several renewals have failed.
const RENEWAL_OVERDUE: Millis = Millis(1000);
/// Observations of the cell logged at a time.
const MAX_LOGGED_EVENTS: usize = 64;

/// The fields of a start that tell what became of the task's former run.
pub(super) struct FormerFields<'a> {
    /// Why the task may start again; `First` if it had no run.
    pub(super) after: CompactString,
    pub(super) run: u32,
    pub(super) vm: &'a str,
    pub(super) released_ago: Millis,
}

impl<'a> FormerFields<'a> {
    pub(super) fn new(cell: &'a Cell, former: Option<FormerRun>, now: Millis) -> Self {
        let Some(former) = former else {
            return Self {
                after: CompactString::const_new("First"),
                run: 0,
                vm: "",
                released_ago: Millis::ZERO,
            };
        };
        Self {
            after: format_compact!("{:?}", former.release),
            run: former.run,
            vm: cell.vm_id(former.vm).unwrap_or_default(),
            released_ago: now.since(former.released_at),
        }
    }
}

impl<P: Platform> Scheduler<P> {
    /// Returns the time since the last renewal of the leadership that succeeded was sent.
    pub(super) fn renewal_age(&self) -> Millis {
        let now = self.clock.now_with_suspension();
        self.leadership.get().age(now)
    }

    /// Counts a lease that was extended although the leadership should have been renewed since.
    pub(super) fn note_extended_lease(&self) {
        if self.clock.now().since(self.renewed_at.get()) >= RENEWAL_OVERDUE {
            self.unrenewed_leases.set(self.unrenewed_leases.get() + 1);
        }
    }

    /// Logs that the leader's own lease has ended, and that it has been renewed again.
    pub(super) fn log_own_lease(&self) {
        let now = self.clock.now();
        let has_ended = self.leadership_remaining() == Millis::ZERO;
        match self.lease_ended_at.get() {
            None if has_ended => {
                self.lease_ended_at.set(Some(now));
                log::warn!(
                    cell = self.cell_no.0, term = self.term,
                    renewed_ms_ago = self.renewal_age().0,
                    unrenewed_leases = self.unrenewed_leases.get();
                    "own lease ended, nothing is started or extended until renewed");
            }
            Some(ended_at) if !has_ended => {
                self.lease_ended_at.set(None);
                log::warn!(
                    cell = self.cell_no.0, term = self.term,
                    renewed_ms_ago = self.renewal_age().0, ended_ms_ago = now.since(ended_at).0;
                    "own lease renewed");
            }
            None | Some(_) => {}
        }
    }

    /// Logs the VMs that were lost since the last call. To be called after each event that may release
    /// runs, so that the lines precede those of the next starts.
    pub(super) fn log_lost_vms(&self) {
        let lost_vms = self.cell.borrow_mut().take_lost_vms();
        for lost in &lost_vms {
            self.log_lost_vm(lost);
        }
    }

    fn log_lost_vm(&self, lost: &LostVm) {
        let vm = lost.vm.as_str();
        let renewed_ms_ago = self.renewal_age().0;
        log::warn!(
            cell = self.cell_no.0, vm, reason:? = lost.reason, silent_ms = lost.silent.0,
            runs = lost.runs.len(), term = self.term, renewed_ms_ago,
            expired_ms_ago = lost.expired.0, waited_ms = lost.waited.0;
            "VM lost, runs released");
        for (task, run, age) in lost.runs.iter().take(MAX_LOGGED_LOST_RUNS) {
            log::info!(
                task:% = task, run, vm, ordered_ms_ago = age.0, reason:? = lost.reason,
                silent_ms = lost.silent.0, term = self.term, renewed_ms_ago,
                expired_ms_ago = lost.expired.0, waited_ms = lost.waited.0;
                "run lost");
        }
        let reason = format!("{:?}", lost.reason);
        self.metrics.record_lost_runs(&reason, lost.runs.len());
        if lost.waited > Millis::ZERO {
            self.metrics.record_release_wait(lost.waited);
        }
    }

    pub(super) fn log_events(&self) {
        let events = self.cell.borrow_mut().take_events();
        for event in events.iter().take(MAX_LOGGED_EVENTS) {
            self.log_event(event);
        }
        let omitted = events.len().saturating_sub(MAX_LOGGED_EVENTS);
        if omitted > 0 {
            log::info!(cell = self.cell_no.0, omitted; "further events of the cell not logged");
        }
    }

    fn log_event(&self, event: &CellEvent) {
        match event {
            CellEvent::EndNotCounted {
                vm,
                task,
                run,
                outcome,
                reason,
                last_run,
            } => log::info!(
                task:% = task, run, how:? = outcome, vm = vm.as_str(), reason, last_run;
                "end not counted"),
            CellEvent::RunAbsent {
                vm,
                task,
                run,
                ends_listed,
            } => log::info!(
                task:% = task, run, vm = vm.as_str(), ends_listed;
                "run absent from report, released"),
            CellEvent::ProgressShortened { job } => log::warn!(
                job:% = job;
                "progress too large for a row, stored without states of running tasks"),
            CellEvent::GangAcrossRacks {
                task,
                racks,
                waited,
            } => log::info!(
                task:% = task, racks, waited_ms = waited.0; "gang started on several racks"),
            CellEvent::ReleaseWaits {
                vm,
                silent,
                waited,
                runs,
            } => log::warn!(
                cell = self.cell_no.0, vm = vm.as_str(), silent_ms = silent.0,
                waited_ms = waited.0, runs, term = self.term,
                renewed_ms_ago = self.renewal_age().0;
                "lease of VM expired, release waits for a renewal of the leadership"),
            CellEvent::RecoveryTimedOut { vms, waited } => log::warn!(
                cell = self.cell_no.0, vms:? = vms, waited_ms = waited.0;
                "VMs have not replied since the takeover"),
            CellEvent::JobsOverCap {
                tenant,
                jobs,
                job,
                over,
            } => log::warn!(
                cell = self.cell_no.0, tenant = tenant.as_str(), jobs, job:% = job, over:% = over;
                "cap of the tenant is too low for accepted jobs, they stay queued"),
            CellEvent::JobRefused {
                job,
                tenant,
                priority,
                estimate,
                retry_after,
            } => log::info!(
                cell = self.cell_no.0, job:% = job, tenant = tenant.as_str(), priority,
                excess = estimate.excess, ahead_core_ms = estimate.ahead / 1000,
                rate_millicores = estimate.rate, measured_millicores = estimate.measured,
                ends = estimate.ends, share_millicores = estimate.share,
                wait_ms = estimate.wait.0, chain_ms = estimate.chain.0,
                useful_ms = estimate.useful.0, retry_ms = retry_after.0;
                "job refused, its tenant's backlog can't drain in useful time"),
            CellEvent::TenantWaits {
                tenant,
                reason,
                waiting,
                waited,
                used,
                cap,
                share_ppm,
                first,
            } => {
                let (first, first_share_ppm) = first
                    .as_ref()
                    .map_or(("", 0), |(name, share)| (name.as_str(), *share));
                log::info!(
                    cell = self.cell_no.0, tenant = tenant.as_str(), reason:? = reason, waiting,
                    waited_ms = waited.0, used_millicores = used.milli_cores,
                    used_mb = used.memory_mb, cap_millicores = cap.milli_cores,
                    cap_mb = cap.memory_mb, cap_gpu = cap.accelerators, share_ppm, first,
                    first_share_ppm;
                    "tenant waits");
            }
            CellEvent::Preempted { runs, described } => {
                let described = described.iter().map(|one| {
                    format_compact!(
                        "{} ({}) for {} ({})",
                        one.task,
                        one.tenant,
                        one.beneficiary,
                        one.beneficiary_tenant
                    )
                });
                let described: Vec<CompactString> = described.collect();
                log::info!(cell = self.cell_no.0, runs, described:? = described; "runs preempted");
            }
        }
    }

    pub(super) fn log_crash_verdicts(&self) {
        let verdicts = self.cell.borrow_mut().take_crash_verdicts();
        for verdict in &verdicts {
            self.log_crash_verdict(verdict);
        }
    }

    fn log_crash_verdict(&self, verdict: &CrashVerdict) {
        let vms = verdict.lost_runs.iter().map(|lost| lost.vm.as_str());
        log::warn!(
            cell = self.cell_no.0, job:% = verdict.task.job, task:% = verdict.task,
            vms:? = vms.collect::<Vec<_>>();
            "job failed, task crashes its VMs");
        self.metrics.record_crashing_task();
    }
}
