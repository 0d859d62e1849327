//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new(Mutex::new(file)), Instant::now())
    }

    /// Returns the ms since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.1.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, who: &str, text: &str) {
        let now = self.now();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {who}: {text}", now / 1000, now % 1000);
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line("script", text);
        println!("{text}");
    }
}
