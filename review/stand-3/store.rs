//! The platform's store: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;

/// `platform.row_bytes` of the sites.
pub const ROW_BYTES: usize = 65_536;
/// `platform.tx_ms` of the sites.
const TX_TIME: Duration = Duration::from_millis(5);
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Every change, oldest first; none for a removal.
    log: Vec<(u64, RowKey, Option<String>)>,
    rejected: u64,
    /// The process whose transaction got a version.
    writers: BTreeMap<u64, usize>,
    /// The processes that get no answer at the moment.
    silenced: Vec<usize>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    record: Arc<Record>,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            record,
        });
        store.listen(address, 0)?;
        Ok(store)
    }

    /// Listens at an address of its own for a process.
    pub fn listen(self: &Arc<Self>, address: SocketAddr, process: usize) -> io::Result<()> {
        let handler = Arc::clone(self);
        let server = Server::start(address, move |request| {
            if handler.is_silenced(process) {
                while handler.is_silenced(process) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return None;
            }
            handler.handle(request, process)
        })?;
        std::mem::forget(server);
        Ok(())
    }

    fn is_silenced(&self, process: usize) -> bool {
        self.state.lock().unwrap().silenced.contains(&process)
    }

    /// Gives a process no answer from now on, or answers it again. Nothing that it sends meanwhile takes effect.
    pub fn silence(&self, process: usize, silent: bool) {
        let mut state = self.state.lock().unwrap();
        state.silenced.retain(|other| *other != process);
        if silent {
            state.silenced.push(process);
        }
    }

    /// Returns the process whose transaction got a version, which is the fencing token of a takeover.
    pub fn holder(&self, fence: u64) -> Option<usize> {
        let state = self.state.lock().unwrap();
        state.writers.get(&fence).copied()
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let version = state.version + 1;
        state.version = version;
        let at = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value.as_bytes());
        state.rows.insert(at.clone(), (value.clone(), version));
        state.log.push((version, at, Some(value)));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        let at = (table.to_owned(), String::new(), key.to_owned());
        if state.rows.remove(&at).is_some() {
            let version = state.version + 1;
            state.version = version;
            state.log.push((version, at, None));
            self.changed.notify_all();
        }
    }

    /// Transactions that broke a limit of the store.
    pub fn rejected(&self) -> u64 {
        self.state.lock().unwrap().rejected
    }

    fn handle(&self, request: &Request, process: usize) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => Some(self.transact(&request.body, process)),
            ("GET", "/rows-get") => Some(self.read(request)),
            ("GET", "/rows-feed") => Some(self.feed(request)),
            _ => Some((404, String::new())),
        }
    }

    fn transact(&self, body: &str, process: usize) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, String::new());
        };
        std::thread::sleep(TX_TIME);
        let key = |entry: &Json| {
            let field = |name| entry.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let (expected, puts, removes) = (
            call.get("expected_rev").list(),
            call.get("put").list(),
            call.get("remove").list(),
        );
        let mut state = self.state.lock().unwrap();
        let largest = puts
            .iter()
            .map(|put| decoded_len(put.get("value").text()))
            .max()
            .unwrap_or(0);
        let entries = expected.len() + puts.len() + removes.len();
        if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES || largest > ROW_BYTES {
            state.rejected += 1;
            if state.rejected <= 20 {
                self.record.line(&format!(
                    "store 400: {entries} entries, {} bytes, largest value {largest} bytes",
                    body.len()
                ));
            }
            return (400, String::new());
        }
        let is_kept = expected.iter().all(|row| {
            let version = state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            version == row.get("ver").number()
        });
        if !is_kept {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let at = key(row);
                    let (value, version) = state.rows.get(&at)?;
                    Some(row_text(&at, Some(value), *version))
                })
                .collect();
            return (412, self.rows_text(&rows, false, state.version));
        }
        let version = state.version + 1;
        state.version = version;
        state.writers.insert(version, process);
        for put in puts {
            let (at, value) = (key(put), put.get("value").text().to_owned());
            state.rows.insert(at.clone(), (value.clone(), version));
            state.log.push((version, at, Some(value)));
        }
        for row in removes {
            let at = key(row);
            if state.rows.remove(&at).is_some() {
                state.log.push((version, at, None));
            }
        }
        self.changed.notify_all();
        (200, self.rows_text(&[], false, version))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let limit = request.query("limit").parse().unwrap_or(MAX_ROWS);
        let limit = limit.min(MAX_ROWS);
        let state = self.state.lock().unwrap();
        let (table, part) = (request.query("table"), request.query("part"));
        let from = (
            table.to_owned(),
            part.to_owned(),
            request.query("from").to_owned(),
        );
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (at, (value, version)) in state.rows.range(from..) {
            if at.0 != table || at.1 != part {
                break;
            }
            if rows.len() == limit || bytes > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.push(row_text(at, Some(value), *version));
        }
        (200, self.rows_text(&rows, has_more, state.version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let table = request.query("table");
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.log.partition_point(|(version, ..)| *version <= after);
            let mut rows = Vec::new();
            let mut version = state.version;
            for (changed, at, value) in &state.log[first..] {
                if at.0 != table {
                    continue;
                }
                if rows.len() == MAX_ROWS {
                    break;
                }
                rows.push(row_text(at, value.as_deref(), *changed));
                version = *changed;
            }
            if rows.len() < MAX_ROWS {
                version = state.version;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.rows_text(&rows, false, version));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_text(&self, rows: &[String], has_more: bool, version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }
}

fn row_text(at: &RowKey, value: Option<&str>, version: u64) -> String {
    let (table, part, key) = (quote(&at.0), quote(&at.1), quote(&at.2));
    let content = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{content},\"ver\":{version}}}")
}

fn decoded_len(text: &str) -> usize {
    let padding = text.bytes().rev().take_while(|byte| *byte == b'=').count();
    text.len() / 4 * 3 - padding
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(*chunk.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            if at <= chunk.len() {
                let digit = bits >> (18 - 6 * at) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
