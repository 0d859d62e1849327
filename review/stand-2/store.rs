//! A stand-in of the platform's store, in its table form.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{self, Json, base64, base64_len, quote};
use crate::record::Record;

/// Table, part and key.
type Key = (String, String, String);

const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
/// `platform.row_bytes` of the settings.
const MAX_ROW_BYTES: usize = 65_536;
const MAX_ROWS: usize = 500;
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Content {
    rows: BTreeMap<Key, (String, u64)>,
    /// Version, key and value of each change; no value once the row is dropped.
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
    oversized: u64,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    started_at: Instant,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            content: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            record: record.clone(),
        });
        let served = Arc::clone(&store);
        let (address, _) = http::serve("127.0.0.1", move |request| served.handle(request));
        (store, address)
    }

    /// Writes a row as the operator or a worker does; `None` drops it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut content = self.content.lock().unwrap();
        content.version += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        content.apply((table.into(), String::new(), key.into()), value);
        self.changed.notify_all();
    }

    /// Returns how many transactions were rejected for a row over the limit.
    pub fn oversized(&self) -> u64 {
        self.content.lock().unwrap().oversized
    }

    fn handle(&self, request: &Request) -> Answer {
        let (status, body) = match request.path() {
            "/rows-tx" => {
                thread::sleep(CALL_TIME);
                self.transact(&request.body)
            }
            "/rows-get" => {
                thread::sleep(CALL_TIME);
                self.get(request)
            }
            "/rows-feed" => self.feed(request),
            _ => (404, String::from("{}")),
        };
        Answer::Reply(status, body)
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    fn rows_body(&self, rows: &[String], version: u64, has_more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(tx) = json::parse(body) else { return (400, String::from("{}")) };
        let key = |row: &Json| -> Key {
            (row.text("table").into(), row.text("part").into(), row.text("key").into())
        };
        let (expected, puts, removes) = (tx.list("expected_rev"), tx.list("put"), tx.list("remove"));
        if expected.len() + puts.len() + removes.len() > MAX_ENTRIES || body.len() > MAX_CALL_BYTES {
            self.record.line("store", "rejects a transaction that is too large");
            return (400, String::from("{}"));
        }
        let mut content = self.content.lock().unwrap();
        if let Some(row) = puts.iter().find(|row| base64_len(row.text("value")) > MAX_ROW_BYTES) {
            content.oversized += 1;
            if content.oversized <= 20 || content.oversized % 50 == 0 {
                self.record.line("store", &format!(
                    "rejects a transaction: row {} of table {} has {} bytes, row_bytes is {MAX_ROW_BYTES} ({} so far)",
                    row.text("key"), row.text("table"), base64_len(row.text("value")), content.oversized
                ));
            }
            return (400, String::from("{\"error\":\"row_bytes\"}"));
        }
        let all = puts.iter().chain(removes);
        if all.clone().any(|row| matches!(row.text("table"), "op" | "servers")) {
            return (403, String::from("{}"));
        }
        let version_of = |content: &Content, key: &Key| content.rows.get(key).map_or(0, |row| row.1);
        if expected.iter().any(|row| version_of(&content, &key(row)) != row.number("ver")) {
            let rows = expected.iter().filter_map(|row| content.row(&key(row)));
            let rows: Vec<String> = rows.collect();
            return (412, self.rows_body(&rows, content.version, false));
        }
        content.version += 1;
        for row in puts {
            content.apply(key(row), Some(row.text("value").to_owned()));
        }
        for row in removes {
            content.apply(key(row), None);
        }
        self.changed.notify_all();
        (200, self.rows_body(&[], content.version, false))
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, until) = (request.query("from"), request.query("target"));
        let limit = request.query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let content = self.content.lock().unwrap();
        let mut found = content.rows.range((table.clone(), part.clone(), from)..);
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, _)) in &mut found {
            if key.0 != table || key.1 != part || (!until.is_empty() && key.2 >= until) {
                break;
            }
            if rows.len() == limit || (bytes > 0 && bytes + value.len() > MAX_CALL_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.extend(content.row(key));
        }
        (200, self.rows_body(&rows, content.version, has_more))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0u64).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut content = self.content.lock().unwrap();
        loop {
            let first = content.changes.partition_point(|(version, ..)| *version <= after);
            let changes = content.changes[first..].iter().filter(|(_, key, _)| key.0 == table);
            let changes: Vec<_> = changes.take(MAX_ROWS).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let full = changes.len() == MAX_ROWS;
                let last = changes.last().map(|(version, ..)| *version);
                let version = last.filter(|_| full).unwrap_or(content.version);
                let rows = changes.into_iter().map(|(version, key, value)| match value {
                    Some(value) => row_json(key, value, *version),
                    None => format!(
                        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},\"deleted\":true}}",
                        quote(&key.0), quote(&key.1), quote(&key.2)
                    ),
                });
                let rows: Vec<String> = rows.collect();
                return (200, self.rows_body(&rows, version, full));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

impl Content {
    /// Applies a change of the newest version.
    fn apply(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.changes.push((self.version, key, value));
    }

    fn row(&self, key: &Key) -> Option<String> {
        let (value, version) = self.rows.get(key)?;
        Some(row_json(key, value, *version))
    }
}

fn row_json(key: &Key, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{value}\",\"ver\":{version}}}",
        quote(&key.0), quote(&key.1), quote(&key.2)
    )
}
