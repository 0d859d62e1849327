//! Structured lines on the standard output, bounded and never waited for.
//!
//! Records go to a thread of their own through a bounded queue. A full queue drops records and
//! counts them; the count is written with the next line.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Append, Diagnostic};

/// Lines that wait for the writer at most; at 200 bytes each they take under 1 MB.
const QUEUE_LINES: usize = 4096;
/// The writer gathers lines for so long, so that it is woken seldom.
const GATHER: Duration = Duration::from_millis(50);
/// Lines a second at most; the rest is dropped and counted. A scheduler of 350 VMs writes up to
/// 4000 at the peak, two for each run and six for each job. Bounds the volume to about 1.6 MB/s.
const LINES_A_SECOND: u64 = 8000;
/// Bytes of one write at most: a pipe takes so many in one piece (`PIPE_BUF` on Linux).
const PIECE_BYTES: usize = 4096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped so far.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts the log of the process.
///
/// # Errors
///
/// Returns an error when the process has a log already.
pub fn start(level: log::LevelFilter) -> Result<(), logforth::Error> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&queue));
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(Lines { lines }))
        .try_apply()?;
    log::set_max_level(level);
    Ok(())
}

#[derive(Debug)]
struct Lines {
    lines: SyncSender<String>,
}

impl Append for Lines {
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
        quote(&mut line, &record.payload().to_string());
        record.key_values().visit(&mut Fields(&mut line))?;
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

struct Fields<'a>(&'a mut String);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), logforth::Error> {
        self.0.push(',');
        quote(self.0, key.as_str());
        self.0.push(':');
        match serde_json::to_string(&value) {
            Ok(text) => self.0.push_str(&text),
            Err(_) => quote(self.0, &value.to_string()),
        }
        Ok(())
    }
}

fn quote(line: &mut String, text: &str) {
    // Text always has a form in JSON.
    line.push_str(&serde_json::to_string(text).unwrap_or_default());
}

fn write_lines(queue: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = queue.recv() {
        thread::sleep(GATHER);
        let most = LINES_A_SECOND * u64::try_from(GATHER.as_millis()).unwrap_or(0) / 1000;
        let mut text = first;
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            count += 1;
            if count <= most {
                text.push_str(&line);
            } else {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        let lost = dropped();
        if lost > reported {
            let _ = writeln!(text, "{{\"event\":\"log lines dropped\",\"total\":{lost}}}");
            reported = lost;
        }
        if write_whole(&text).is_err() {
            DROPPED.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// Writes whole lines in pieces that a pipe takes at once, so that no reader sees lines torn apart.
fn write_whole(text: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    let mut rest = text;
    while !rest.is_empty() {
        let most = rest.len().min(PIECE_BYTES);
        let end = rest.as_bytes()[..most]
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(rest.len(), |at| at + 1);
        let (piece, left) = rest.split_at(end);
        out.write_all(piece.as_bytes())?;
        out.flush()?;
        rest = left;
    }
    Ok(())
}
