//! Structured logging to standard output that never blocks the caller.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use amaranthshunt_core::log::{Level, LogRecord};
use logforth::layout::JsonLayout;
use logforth::{Append, Diagnostic, Error, Layout as _};

/// Maximum lines that wait for the writer; more lines are dropped and counted.
const QUEUE_CAPACITY: usize = 1_024;

/// Passes lines to a writer thread, which blocks while standard output is not read.
#[derive(Debug)]
struct QueueAppender {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &logforth::record::Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            let notice = format!("{{\"message\":\"{dropped} log lines were dropped\"}}");
            if self.lines.try_send(notice.into_bytes()).is_ok() {
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
            // Standard output is closed, so the error cannot be reported anywhere.
            return;
        }
    }
}

/// Starts logging to standard output as JSON, one object per line.
pub(crate) fn start_logs() {
    let (lines, receiver) = sync_channel(QUEUE_CAPACITY);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    if writer.spawn(move || write_lines(&receiver)).is_err() {
        return;
    }
    let queue = QueueAppender {
        layout: JsonLayout::default(),
        lines,
        dropped: AtomicU64::new(0),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(queue))
        .apply();
    log::set_max_level(log::LevelFilter::Info);
}

/// Logs an event of the catalogue; `host` is the name of this host.
pub(crate) fn write_log(host: &str, record: &LogRecord) {
    let level = match record.code.level() {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(target: "amaranthshunt", level, "{host} {record}");
}
