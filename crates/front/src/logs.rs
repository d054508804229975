//! Structured log lines on standard output that never hold anything up.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use amaranthshunt_core::log::{Level, Record};
use logforth::layout::JsonLayout;
use logforth::{Append, Diagnostic, Error, Layout as _};

/// Lines that wait for the writer; further ones are dropped and counted.
const QUEUE: usize = 1_024;

/// Hands lines to a thread that may be held up by the reader of standard output.
#[derive(Debug)]
struct Queue {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Append for Queue {
    fn append(
        &self,
        record: &logforth::record::Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            let told = format!("{{\"message\":\"{dropped} log lines were dropped\"}}");
            if self.lines.try_send(told.into_bytes()).is_ok() {
                self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            }
        }
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(mut line) = lines.recv() {
        line.push(b'\n');
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            // Nobody reads standard output any more, so there is nowhere to tell it.
            return;
        }
    }
}

/// Sends log lines to standard output as JSON, one object a line.
pub(crate) fn start_logs() {
    let (lines, waiting) = sync_channel(QUEUE);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    if writer.spawn(move || write_lines(&waiting)).is_err() {
        return;
    }
    let queue = Queue {
        layout: JsonLayout::default(),
        lines,
        dropped: AtomicU64::new(0),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(queue))
        .apply();
    log::set_max_level(log::LevelFilter::Info);
}

/// Writes one line of the event catalogue.
pub(crate) fn write_log(host: &str, record: &Record) {
    let level = match record.code.level() {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(target: "amaranthshunt", level, "{host} {record}");
}
