//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record can be created")),
            started: Instant::now(),
        }
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Adds a line that tells of this moment.
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line that tells of another moment.
    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{:8.3} {}", self.seconds(at), text.as_ref());
    }

    /// Adds a line to the record and to standard output.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
