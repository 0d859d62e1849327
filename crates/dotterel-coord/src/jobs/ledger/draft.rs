//! Composing the writes of a shard.

use compact_str::CompactString;
use dotterel_kernel::{JobId, Millis, TaskId};
use dotterel_platform::{Owner, Version, Write};
use uuid::Uuid;

use super::Shard;
use crate::jobs::Config;
use crate::jobs::job::Job;
use crate::jobs::record::{LeaseRow, encode, end_key, lease_key, run_key};

/// A composed write.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    pub(super) stamp: Uuid,
    pub(super) writes: Vec<Write>,
    pub(super) parts: Vec<Part>,
    pub(super) parting: bool,
}

/// One job's part in a write.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) job: JobId,
    pub(super) planned: Vec<TaskId>,
    pub(super) ended: Vec<TaskId>,
    pub(super) answered: usize,
    pub(super) over: bool,
    /// The place of its progress among the writes.
    pub(super) place: usize,
}

impl Shard {
    /// Composes a write of everything that has changed, up to the limit of a transaction.
    pub(super) fn draft(&mut self, config: &Config, owner: Option<&Owner>, now: Millis) -> Draft {
        let stamp = Uuid::now_v7();
        let lease = LeaseRow {
            holder: owner.cloned(),
            stamp,
        };
        let mut writes = vec![Write {
            key: lease_key(self.index),
            expect: self.lease,
            value: Some(encode(&lease)),
        }];
        for (key, version) in self.stray.drain(..) {
            writes.push(delete(key, version));
        }
        let mut parts = Vec::new();
        for job in &mut self.jobs {
            if job.dirty && writes.len() < config.batch_rows {
                parts.push(compose(job, self.index, now, &mut writes));
            }
        }
        Draft {
            stamp,
            writes,
            parts,
            parting: owner.is_none(),
        }
    }
}

/// Adds one job's rows to a write.
fn compose(job: &mut Job, shard: u32, now: Millis, writes: &mut Vec<Write>) -> Part {
    let over = job.phase.is_final();
    job.dirty = false;
    let run = run_key(shard, job.id);
    let value = Some(encode(&job.progress(now)));
    let place = writes.len();
    if over {
        writes.push(Write {
            key: end_key(shard, job.id),
            expect: Version::ABSENT,
            value,
        });
        if job.row != Version::ABSENT {
            writes.push(delete(run, job.row));
        }
    } else {
        let expect = job.row;
        writes.push(Write {
            key: run,
            expect,
            value,
        });
    }
    for (key, version) in &job.answered {
        writes.push(delete(key.clone(), *version));
    }
    Part {
        job: job.id,
        planned: job.planned(),
        ended: job.ended.clone(),
        answered: job.answered.len(),
        over,
        place,
    }
}

pub(super) fn delete(key: CompactString, expect: Version) -> Write {
    let value = None;
    Write { key, expect, value }
}
