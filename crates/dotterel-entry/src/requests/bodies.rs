//! Recent bodies, for the flag on duplicates.

use std::sync::{Mutex, PoisonError};

use dotterel_kernel::{CallerKey, Flag, Millis, RequestId};
use xxhash_rust::xxh3::Xxh3;

use super::Request;
use crate::app::App;

/// The most bodies that are remembered.
const BODY_LIMIT: usize = 16_384;

/// How long a body is remembered.
const MEMORY: Millis = Millis::secs(3_600);

/// Digests of recent bodies, as this node saw them.
#[derive(Debug, Default)]
pub struct RecentBodies {
    /// Sorted by digest.
    seen: Mutex<Vec<Seen>>,
}

#[derive(Debug)]
struct Seen {
    digest: u64,
    request: RequestId,
    key: Option<CallerKey>,
    at: Millis,
}

impl RecentBodies {
    /// Flags the request in its record when another one brought the same body under another key.
    pub fn flag(&self, app: &App, request: &Request) {
        if !request.class.flag_duplicates {
            return;
        }
        if let Some(of) = self.note(request) {
            app.journal.update(request.id, |record| {
                record.flags.push(Flag::Duplicate { of });
            });
        }
    }

    fn note(&self, request: &Request) -> Option<RequestId> {
        let digest = digest(request);
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        match seen.binary_search_by_key(&digest, |entry| entry.digest) {
            Ok(index) => {
                let first = &seen[index];
                // The same key means the same piece of work, sent again.
                let again = first.key.is_some() && first.key == request.key;
                (!again).then_some(first.request)
            }
            Err(index) => {
                let entry = Seen {
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

fn prune(seen: &mut Vec<Seen>, now: Millis) {
    if seen.len() > BODY_LIMIT {
        seen.retain(|entry| now.since(entry.at) < MEMORY);
    }
    if seen.len() > BODY_LIMIT {
        let mut ages: Vec<Millis> = seen.iter().map(|entry| entry.at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        seen.retain(|entry| entry.at >= middle);
    }
}
