//! The reading of one request body, which other messages can end.

use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;

use futures::task::AtomicWaker;

use super::error::{HttpError, Result};

/// Why the reading of a body is ended before the body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// Its memory or its place is needed for others.
    GivesWay,
    /// It has made no progress for too long, or takes too long in all.
    TimedOut,
}

impl From<Ending> for HttpError {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::GivesWay => Self::OutOfMemory,
            Ending::TimedOut => Self::Io(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// The state that the task which reads a body shares with those that may end it.
#[derive(Debug, Default)]
pub(super) struct Reception {
    has_progressed: AtomicBool,
    ending: OnceLock<Ending>,
    waker: AtomicWaker,
}

impl Reception {
    /// Records that bytes have been read.
    pub(super) fn note_progress(&self) {
        self.has_progressed.store(true, Ordering::Relaxed);
    }

    /// Whether bytes have been read since the last call.
    pub(super) fn take_progress(&self) -> bool {
        self.has_progressed.swap(false, Ordering::Relaxed)
    }

    /// Ends the reading; the first reason counts.
    pub(super) fn end(&self, ending: Ending) {
        // A second reason changes nothing.
        let _ = self.ending.set(ending);
        self.waker.wake();
    }

    /// Why the reading has been ended, if it has.
    pub(super) fn ending(&self) -> Option<Ending> {
        self.ending.get().copied()
    }

    /// Reads until the body is complete or its reading is ended.
    pub(super) async fn until_ended<T>(
        &self,
        mut read: Pin<&mut impl Future<Output = Result<T>>>,
    ) -> Result<T> {
        poll_fn(|context| {
            self.waker.register(context.waker());
            match self.ending() {
                Some(ending) => Poll::Ready(Err(ending.into())),
                None => read.as_mut().poll(context),
            }
        })
        .await
    }
}
