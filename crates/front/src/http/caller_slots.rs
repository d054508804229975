//! A bound on the connections of callers.

use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use async_std::net::TcpStream;
use futures::future::FutureExt;

use crate::clock;
use crate::lock::lock;

/// Time in which the head of a request arrives, after which its connection gives way to new ones. A head
/// has a few packets, so this covers the loss of some.
const HEAD_GRACE: Duration = Duration::from_millis(1_000);
/// Connections that are being closed and may exist beyond the bound. Each one is closed as soon as its
/// task runs.
const CLOSING_LIMIT: usize = 16;

/// Which part of a request a connection is at.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// It has no request.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// A request is in hand.
    Request,
}

/// The connections of callers, at most `limit` of them.
#[derive(Clone, Debug)]
pub(crate) struct CallerSlots {
    state: Arc<Mutex<SlotsState>>,
    limit: usize,
}

#[derive(Debug, Default)]
struct SlotsState {
    open: BTreeMap<u64, OpenSlot>,
    count: u64,
    /// Connections that have been shut down and whose tasks have not ended.
    closing: usize,
}

#[derive(Debug)]
struct OpenSlot {
    stream: TcpStream,
    phase: Phase,
    since: Time,
}

impl OpenSlot {
    /// Whether the connection may be closed for another one: nothing of a request has been read, or its
    /// head has been incomplete for long.
    fn gives_way(&self, now: Time) -> bool {
        match self.phase {
            Phase::Idle => self.stream.peek(&mut [0]).now_or_never().is_none(),
            Phase::Head => now.since(self.since) >= HEAD_GRACE,
            Phase::Request => false,
        }
    }
}

/// What has been done to take a new connection.
#[derive(Debug)]
pub(crate) enum Admission {
    /// There was a free place.
    Free(CallerSlot),
    /// Another connection is closed for it.
    Replaces(CallerSlot),
    /// There is no place.
    Refused,
}

impl CallerSlots {
    /// Creates the places of `limit` connections.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            state: Arc::default(),
            limit,
        }
    }

    /// Gives a place to a new connection. If there is none, the connection is closed that has been idle for
    /// longest, or whose head has been incomplete for longest.
    pub(crate) fn admit(&self, stream: &TcpStream) -> Admission {
        let mut state = lock(&self.state);
        if state.open.len() + state.closing < self.limit {
            return Admission::Free(self.add(&mut state, stream));
        }
        if state.closing >= CLOSING_LIMIT || !state.close_oldest(clock::now()) {
            return Admission::Refused;
        }
        Admission::Replaces(self.add(&mut state, stream))
    }

    fn add(&self, state: &mut SlotsState, stream: &TcpStream) -> CallerSlot {
        state.count += 1;
        let number = state.count;
        let slot = OpenSlot {
            stream: stream.clone(),
            phase: Phase::Idle,
            since: clock::now(),
        };
        state.open.insert(number, slot);
        CallerSlot {
            slots: self.clone(),
            number,
        }
    }
}

impl SlotsState {
    fn close_oldest(&mut self, now: Time) -> bool {
        let mut order: Vec<_> = self
            .open
            .iter()
            .filter(|(_, slot)| slot.phase != Phase::Request)
            .map(|(number, slot)| (slot.phase, slot.since, *number))
            .collect();
        order.sort_unstable();
        let oldest = order
            .into_iter()
            .find(|(.., number)| self.open[number].gives_way(now));
        let Some(slot) = oldest.and_then(|(.., number)| self.open.remove(&number)) else {
            return false;
        };
        // The task of the connection reads its end and drops it. An error means that it has ended already.
        let _ = slot.stream.shutdown(Shutdown::Both);
        self.closing += 1;
        true
    }
}

/// The place of one connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerSlot {
    slots: CallerSlots,
    number: u64,
}

impl CallerSlot {
    /// Sets the part of a request that the connection is at.
    pub(super) fn enter(&self, phase: Phase) {
        let mut state = lock(&self.slots.state);
        if let Some(slot) = state.open.get_mut(&self.number)
            && slot.phase != phase
        {
            slot.phase = phase;
            slot.since = clock::now();
        }
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        if state.open.remove(&self.number).is_none() {
            state.closing -= 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use async_std::io::WriteExt;
    use async_std::net::{TcpListener, TcpStream};
    use async_std::task;

    use super::{Admission, CallerSlot, CallerSlots, Phase};

    /// Both ends of a new connection.
    async fn connect(listener: &TcpListener) -> (TcpStream, TcpStream) {
        let caller = TcpStream::connect(listener.local_addr().unwrap());
        let caller = caller.await.unwrap();
        (caller, listener.accept().await.unwrap().0)
    }

    fn slot(admission: Admission) -> Option<CallerSlot> {
        match admission {
            Admission::Free(slot) | Admission::Replaces(slot) => Some(slot),
            Admission::Refused => None,
        }
    }

    // Guards against LOST: the connection of a request that had arrived, or was being served, was closed.
    #[test]
    fn only_a_connection_without_a_request_is_closed_for_another() {
        task::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let slots = CallerSlots::new(3);
            let (mut sending, sent) = connect(&listener).await;
            let (_serving, served) = connect(&listener).await;
            let (_waiting, waited) = connect(&listener).await;
            let places = [&sent, &served, &waited].map(|stream| slot(slots.admit(stream)));
            places[1].as_ref().unwrap().enter(Phase::Request);
            sending.write_all(b"G").await.unwrap();
            sent.peek(&mut [0]).await.unwrap();

            let (_next, accepted) = connect(&listener).await;
            let next = slots.admit(&accepted);
            assert!(matches!(next, Admission::Replaces(_)), "{next:?}");
            assert_eq!(waited.peek(&mut [0]).await.unwrap(), 0);
            let next = slot(next).unwrap();
            next.enter(Phase::Request);

            let (_last, accepted) = connect(&listener).await;
            let last = slots.admit(&accepted);
            assert!(matches!(last, Admission::Refused), "{last:?}");
            drop(next);
            drop(places);
            let last = slots.admit(&accepted);
            assert!(matches!(last, Admission::Free(_)), "{last:?}");
        });
    }
}
