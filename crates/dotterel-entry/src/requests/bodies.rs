//! Detects requests that repeat a recent body under another key.

use std::sync::{Mutex, PoisonError};

use dotterel_kernel::{CallerKey, Flag, Millis, RequestId};
use xxhash_rust::xxh3::Xxh3;

use super::Request;
use crate::app::App;

/// Maximum number of digests kept.
const MAX_BODIES: usize = 16_384;

/// How long a digest is kept once there are more than [`MAX_BODIES`].
const RETENTION: Millis = Millis::secs(3_600);

/// Digests of the bodies that this node received recently.
#[derive(Debug, Default)]
pub struct RecentBodies {
    /// Sorted by digest.
    seen: Mutex<Vec<SeenBody>>,
}

#[derive(Debug)]
struct SeenBody {
    digest: u64,
    request: RequestId,
    key: Option<CallerKey>,
    at: Millis,
}

impl RecentBodies {
    /// Flags the request in its record if an earlier one had the same body but not the same key.
    pub fn flag_duplicate(&self, app: &App, request: &Request) {
        if !request.class.flag_duplicates {
            return;
        }
        if let Some(of) = self.find_duplicate(request) {
            app.journal.update(request.id, |record| {
                record.flags.push(Flag::Duplicate { of });
            });
        }
    }

    fn find_duplicate(&self, request: &Request) -> Option<RequestId> {
        let digest = digest(request);
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        match seen.binary_search_by_key(&digest, |entry| entry.digest) {
            Ok(index) => {
                let first = &seen[index];
                // The same key means that the caller retries the same request.
                let is_retry = first.key.is_some() && first.key == request.key;
                (!is_retry).then_some(first.request)
            }
            Err(index) => {
                let entry = SeenBody {
                    digest,
                    request: request.id,
                    key: request.key.clone(),
                    at: request.arrived,
                };
                seen.insert(index, entry);
                prune(&mut seen, request.arrived);
                None
            }
        }
    }
}

/// Returns a hash of the service, the class and the body.
fn digest(request: &Request) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.service.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(request.class.name.as_bytes());
    hash.update(&[0]);
    hash.update(&request.body);
    hash.digest()
}

fn prune(seen: &mut Vec<SeenBody>, now: Millis) {
    if seen.len() > MAX_BODIES {
        seen.retain(|entry| now.since(entry.at) < RETENTION);
    }
    if seen.len() > MAX_BODIES {
        let mut ages: Vec<Millis> = seen.iter().map(|entry| entry.at).collect();
        ages.sort_unstable();
        let median = ages[ages.len() / 2];
        seen.retain(|entry| entry.at >= median);
    }
}
