//! Shares of the tenants when capacity is short.
//!
//! Within a priority, the tenants with the smallest share of the cell for their weight go first. The share
//! of a step is what its tenant would occupy if all its earlier steps had started: one tenant would
//! otherwise take all the capacity that becomes free at once.

use dotterel_kernel::Size;

use crate::cell::{Cell, account_index};
use crate::job::{Phase, StepRef};
use crate::plan::occupied_size;
use crate::plan::order::Rank;
use crate::tenant::{TenantNo, times};

/// Shares that differ by less than this fraction, of the lower one or of an even share, count as equal and
/// are ordered by due time. Otherwise the order would change with each start and end.
const TOLERANCE: f64 = 0.1;
/// Weight of tenants without one, and of all jobs without a tenant together.
const DEFAULT_WEIGHT: f64 = 1.0;

impl Cell {
    /// Orders the steps of a queue by the shares of their tenants, within what their ranks order so far.
    /// Queues of cells without tenants stay as they are.
    pub(crate) fn rank_by_share(&self, queue: &mut [(Rank, StepRef)]) {
        if self.tenants.is_empty() {
            return;
        }
        queue.sort_unstable();
        let (shares, total_weight) = self.shares(queue);
        let even_share = 1.0 / total_weight.max(f64::MIN_POSITIVE);
        let mut start = 0;
        for class in queue.chunk_by_mut(|(one, _), (other, _)| one.is_same_class(other)) {
            let end = start + class.len();
            let mut order: Vec<usize> = (0..class.len()).collect();
            let shares = &shares[start..end];
            order.sort_by(|one, other| shares[*one].total_cmp(&shares[*other]));
            let mut band = 0;
            let mut lowest = f64::NEG_INFINITY;
            for at in order {
                let tolerance = lowest.max(even_share) * TOLERANCE;
                if shares[at] - lowest >= tolerance {
                    band += 1;
                    lowest = shares[at];
                }
                class[at].0.set_band(band);
            }
            start = end;
        }
    }

    /// Returns the weighted share of each step's tenant in a sorted queue, and the weights of these tenants.
    fn shares(&self, queue: &[(Rank, StepRef)]) -> (Vec<f64>, f64) {
        let capacity = self
            .vms
            .values()
            .fold(Size::ZERO, |sum, vm| sum.plus(&vm.info.capacity));
        let mut used: Vec<Size> = self.accounts.iter().map(|account| account.used).collect();
        let mut is_waiting = vec![false; used.len()];
        let mut total_weight = 0.0;
        let mut shares = Vec::with_capacity(queue.len());
        for (_, step_ref) in queue {
            let tenant = self.jobs.get(step_ref.job).and_then(|job| job.tenant);
            let weight = self.share_weight(tenant);
            let at = account_index(tenant);
            let Some(used) = used.get_mut(at) else {
                shares.push(0.0);
                continue;
            };
            if !std::mem::replace(&mut is_waiting[at], true) {
                total_weight += weight;
            }
            shares.push(dominant_share(used, &capacity) / weight);
            *used = used.plus(&self.waiting_size(*step_ref));
        }
        (shares, total_weight)
    }

    /// Returns the weight with which a tenant takes part in the sharing of the cell.
    pub(crate) fn share_weight(&self, tenant: Option<TenantNo>) -> f64 {
        let weight = tenant.map(|tenant| self.tenants.terms(tenant).weight);
        let weight = weight.filter(|weight| *weight > 0.0 && weight.is_finite());
        weight.unwrap_or(DEFAULT_WEIGHT)
    }

    /// Returns what the waiting tasks of a step would occupy.
    fn waiting_size(&self, step_ref: StepRef) -> Size {
        let Some((spec, step)) = self.step_spec(step_ref) else {
            return Size::ZERO;
        };
        let tasks = self.step_state(step_ref).map(|state| &state.tasks);
        let waiting = tasks.into_iter().flatten();
        let waiting = waiting.filter(|task| task.phase == Phase::Waiting).count();
        let count = u32::try_from(waiting).unwrap_or(u32::MAX);
        times(&occupied_size(&spec.steps[step]), count)
    }
}

/// Returns the largest fraction of processor time or memory that `used` takes.
pub(crate) fn dominant_share(used: &Size, capacity: &Size) -> f64 {
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    share(used.milli_cores, capacity.milli_cores).max(share(used.memory_mb, capacity.memory_mb))
}
