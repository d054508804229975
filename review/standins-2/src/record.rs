//! What was sent, answered and run, for `record.txt`.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            broken: Arc::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Records that the rule was broken.
    pub fn broken(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4} BROKEN {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line.clone());
        self.broken.lock().unwrap().push(line);
    }

    /// Writes the record; returns the exit status of the script.
    pub fn finish(&self, path: &str, could_run: Result<(), String>) -> i32 {
        let broken = self.broken.lock().unwrap().clone();
        let verdict = match &could_run {
            Err(reason) => format!("the case could not run: {reason}"),
            Ok(()) if broken.is_empty() => "the rule held".to_owned(),
            Ok(()) => format!(
                "the rule was broken {} times; the first:\n{}",
                broken.len(),
                broken[0]
            ),
        };
        let mut text = format!("{verdict}\n\n");
        for line in self.lines.lock().unwrap().iter() {
            text.push_str(line);
            text.push('\n');
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {path}: {error}");
        }
        println!("{verdict}");
        match could_run {
            Err(_) => 2,
            Ok(()) => i32::from(!broken.is_empty()),
        }
    }
}
