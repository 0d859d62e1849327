//! Composition of the writes of a shard.

use compact_str::CompactString;
use dotterel_kernel::{JobId, Millis, TaskId};
use dotterel_platform::{Owner, Version, Write};
use uuid::Uuid;

use super::Shard;
use crate::jobs::Config;
use crate::jobs::job::Job;
use crate::jobs::record::{LeaseRow, encode, end_key, lease_key, run_key};

/// One transaction on the rows of a shard.
#[derive(Clone, Debug)]
pub(super) struct ShardWrite {
    pub(super) write_id: Uuid,
    pub(super) writes: Vec<Write>,
    pub(super) job_writes: Vec<JobWrite>,
    pub(super) releasing: bool,
}

/// The part of a write that concerns one job.
#[derive(Clone, Debug)]
pub(super) struct JobWrite {
    pub(super) job: JobId,
    pub(super) planned: Vec<TaskId>,
    pub(super) ended: Vec<TaskId>,
    pub(super) inbox_rows: usize,
    pub(super) is_final: bool,
    /// The index of the progress row among the writes.
    pub(super) write_index: usize,
}

impl Shard {
    /// Composes a write of all changes, up to the maximum size of a transaction.
    pub(super) fn compose_write(
        &mut self,
        config: &Config,
        owner: Option<&Owner>,
        now: Millis,
    ) -> ShardWrite {
        let write_id = Uuid::now_v7();
        let lease = LeaseRow {
            holder: owner.cloned(),
            write_id,
        };
        let mut writes = vec![Write {
            key: lease_key(self.index),
            expect: self.lease_version,
            value: Some(encode(&lease)),
        }];
        for (key, version) in self.orphan_rows.drain(..) {
            writes.push(delete(key, version));
        }
        let mut job_writes = Vec::new();
        for job in &mut self.jobs {
            if job.dirty && writes.len() < config.batch_rows {
                job_writes.push(add_job(job, self.index, now, &mut writes));
            }
        }
        ShardWrite {
            write_id,
            writes,
            job_writes,
            releasing: owner.is_none(),
        }
    }
}

/// Adds the rows of one job to a write.
fn add_job(job: &mut Job, shard: u32, now: Millis, writes: &mut Vec<Write>) -> JobWrite {
    let is_final = job.phase.is_final();
    job.dirty = false;
    let run = run_key(shard, job.id);
    let value = Some(encode(&job.progress(now)));
    let write_index = writes.len();
    if is_final {
        writes.push(Write {
            key: end_key(shard, job.id),
            expect: Version::ABSENT,
            value,
        });
        if job.row_version != Version::ABSENT {
            writes.push(delete(run, job.row_version));
        }
    } else {
        let expect = job.row_version;
        writes.push(Write {
            key: run,
            expect,
            value,
        });
    }
    for (key, version) in &job.inbox_rows {
        writes.push(delete(key.clone(), *version));
    }
    JobWrite {
        job: job.id,
        planned: job.planned(),
        ended: job.ended.clone(),
        inbox_rows: job.inbox_rows.len(),
        is_final,
        write_index,
    }
}

pub(super) fn delete(key: CompactString, expect: Version) -> Write {
    let value = None;
    Write { key, expect, value }
}
