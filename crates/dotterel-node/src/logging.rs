//! Structured log lines on standard output, bounded in volume and written without blocking the
//! caller.
//!
//! Records pass through a bounded queue to a writer thread. When the queue is full, records are
//! dropped and counted; the count is written with the next line.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Append, Diagnostic};

/// Maximum number of queued lines; at 200 bytes each they take under 1 MB.
const QUEUE_CAPACITY: usize = 4096;
/// The writer batches lines over this time, which limits how often it wakes up.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Lines above this rate are dropped and counted. A scheduler of 350 VMs writes up to 4000 a second
/// at the peak, two for each run and six for each job. The limit bounds the volume to about 1.6
/// MB/s.
const MAX_LINES_PER_SECOND: u64 = 8000;
/// Largest write that a pipe accepts atomically (`PIPE_BUF` on Linux).
const MAX_WRITE_BYTES: usize = 4096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped so far.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn start(level: log::LevelFilter) -> Result<(), logforth::Error> {
    let (lines, queue) = sync_channel(QUEUE_CAPACITY);
    thread::spawn(move || run_writer(&queue));
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(LineAppender { lines }))
        .try_apply()?;
    log::set_max_level(level);
    Ok(())
}

#[derive(Debug)]
struct LineAppender {
    lines: SyncSender<String>,
}

impl Append for LineAppender {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), logforth::Error> {
        let time = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = String::with_capacity(200);
        let level = record.level().name();
        // Writing into a string can't fail.
        let _ = write!(
            line,
            "{{\"ms\":{},\"level\":\"{level}\",\"event\":",
            time.as_millis()
        );
        push_json_string(&mut line, &record.payload().to_string());
        record.key_values().visit(&mut FieldWriter(&mut line))?;
        line.push_str("}\n");
        if self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

struct FieldWriter<'a>(&'a mut String);

impl Visitor for FieldWriter<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), logforth::Error> {
        self.0.push(',');
        push_json_string(self.0, key.as_str());
        self.0.push(':');
        match serde_json::to_string(&value) {
            Ok(text) => self.0.push_str(&text),
            Err(_) => push_json_string(self.0, &value.to_string()),
        }
        Ok(())
    }
}

fn push_json_string(line: &mut String, text: &str) {
    // A string can always be encoded as JSON.
    line.push_str(&serde_json::to_string(text).unwrap_or_default());
}

fn run_writer(queue: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = queue.recv() {
        thread::sleep(FLUSH_INTERVAL);
        let max_lines =
            MAX_LINES_PER_SECOND * u64::try_from(FLUSH_INTERVAL.as_millis()).unwrap_or(0) / 1000;
        let mut text = first;
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            count += 1;
            if count <= max_lines {
                text.push_str(&line);
            } else {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        let total = dropped();
        if total > reported {
            let _ = writeln!(
                text,
                "{{\"event\":\"log lines dropped\",\"total\":{total}}}"
            );
            reported = total;
        }
        if write_chunks(&text).is_err() {
            DROPPED.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// Writes whole lines in chunks that a pipe accepts atomically, so that readers never see part of a
/// line.
fn write_chunks(text: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    let mut rest = text;
    while !rest.is_empty() {
        let limit = rest.len().min(MAX_WRITE_BYTES);
        let end = rest.as_bytes()[..limit]
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(rest.len(), |at| at + 1);
        let (chunk, left) = rest.split_at(end);
        out.write_all(chunk.as_bytes())?;
        out.flush()?;
        rest = left;
    }
    Ok(())
}
