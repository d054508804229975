//! A bound on the memory that messages occupy together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::body::occupied_by;
use super::error::Result;
use super::reception::{Ending, Reception};
use crate::lock::lock;

/// Bytes of one message that every request in hand has room for, whatever other messages occupy, so that
/// huge messages keep no ordinary one from being read. The number of requests is bounded.
pub(super) const SMALL_MESSAGE: usize = 8 << 10;

/// Copies of a head that exist at a time.
const HEAD_COPIES: usize = 3;

/// Time without a byte after which a request body is refused with 408. A caller that sends its body as
/// fast as its link allows pauses for less even when packets are lost.
const STALL_LIMIT: Duration = Duration::from_secs(3);
/// Time in which a request body must be complete, whatever deadline its caller states. Callers give up
/// on a request long before.
const BODY_TIME_LIMIT: Duration = Duration::from_secs(30);
/// Time without a byte after which a request body gives way to other messages. It covers a few lost
/// packets of a caller on a slow link.
const STALL_GRACE: Duration = Duration::from_millis(500);

/// The number of bytes that all messages may occupy beyond [`SMALL_MESSAGE`] each.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget {
    state: Arc<Mutex<BudgetState>>,
    limit: usize,
}

#[derive(Debug, Default)]
struct BudgetState {
    used: usize,
    /// Request bodies that are incomplete, by number.
    bodies: BTreeMap<u64, IncomingBody>,
    body_count: u64,
    given_way: u64,
}

/// A request body that is incomplete.
#[derive(Debug)]
struct IncomingBody {
    reception: Arc<Reception>,
    charged: usize,
    /// Time without progress.
    stalled: Duration,
    age: Duration,
}

/// How many request bodies have been ended since the last sweep.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndedBodies {
    /// Because other messages needed their room.
    pub(crate) given_way: u64,
    /// Because they made no progress or took too long.
    pub(crate) timed_out: u64,
}

impl BudgetState {
    /// Ends the reading of a body, which occupies nothing from now on.
    fn end(&mut self, number: u64, ending: Ending) {
        if let Some(body) = self.bodies.remove(&number) {
            self.used -= body.charged;
            body.reception.end(ending);
        }
    }

    fn give_way(&mut self, number: u64) {
        self.given_way += 1;
        self.end(number, Ending::GivesWay);
    }

    /// Lets other bodies give way to a message that will occupy `wanted` bytes, until the bytes that are
    /// then used are allowed: first those that have made no progress for longest, then those that occupy
    /// more than the message, the largest first. Ends none if that would not suffice.
    fn make_room(
        &mut self,
        own: Option<u64>,
        wanted: usize,
        mut total: usize,
        is_allowed: impl Fn(usize) -> bool,
    ) -> bool {
        let others = self.bodies.iter().filter(|(number, body)| {
            let gives_way = body.stalled >= STALL_GRACE || body.charged > wanted;
            Some(**number) != own && body.charged > 0 && gives_way
        });
        let mut others: Vec<_> = others
            .map(|(number, body)| {
                let stalled = Some(body.stalled).filter(|stalled| *stalled >= STALL_GRACE);
                (stalled, body.charged, *number)
            })
            .collect();
        others.sort_unstable();
        let mut ended = Vec::new();
        while !is_allowed(total) {
            let Some((_, charged, number)) = others.pop() else {
                return false;
            };
            total -= charged;
            ended.push(number);
        }
        for number in ended {
            self.give_way(number);
        }
        true
    }
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            state: Arc::default(),
            limit,
        }
    }

    /// The bytes that all messages occupy.
    pub(crate) fn used(&self) -> usize {
        lock(&self.state).used
    }

    /// Starts the account of one message.
    pub(crate) fn open_account(&self) -> BufferAccount {
        self.open_account_beyond(SMALL_MESSAGE)
    }

    /// Starts the account of what is read of a connection behind a message in hand. All of it counts, since
    /// none of it has to be read yet.
    pub(crate) fn open_read_ahead_account(&self) -> BufferAccount {
        self.open_account_beyond(0)
    }

    fn open_account_beyond(&self, free: usize) -> BufferAccount {
        BufferAccount {
            budget: self.clone(),
            free,
            head: 0,
            reserved: 0,
            charged: 0,
            body: None,
        }
    }

    /// Lets the request body give way that has made no progress for longest, so that its request makes
    /// room for another one; `false` if all have made progress lately.
    pub(crate) fn end_stalled_body(&self) -> bool {
        let mut state = lock(&self.state);
        let stalled = state
            .bodies
            .iter()
            .filter(|(_, body)| body.stalled >= STALL_GRACE);
        let longest = stalled.max_by_key(|(_, body)| body.stalled);
        let Some((number, _)) = longest else {
            return false;
        };
        let number = *number;
        state.give_way(number);
        true
    }

    /// Ends request bodies that have made no progress or been incomplete for too long. `interval` is the
    /// time between two calls; a pause of the process counts as one interval, since bytes that have
    /// arrived in it have not been read.
    pub(crate) fn sweep(&self, interval: Duration) -> EndedBodies {
        let mut state = lock(&self.state);
        let mut ended = Vec::new();
        for (number, body) in &mut state.bodies {
            body.age += interval;
            body.stalled = if body.reception.take_progress() {
                Duration::ZERO
            } else {
                body.stalled + interval
            };
            if body.stalled > STALL_LIMIT || body.age > BODY_TIME_LIMIT {
                ended.push(*number);
            }
        }
        for number in &ended {
            state.end(*number, Ending::TimedOut);
        }
        EndedBodies {
            given_way: std::mem::take(&mut state.given_way),
            timed_out: ended.len() as u64,
        }
    }
}

/// The bytes that one message occupies, until it is dropped.
#[derive(Debug)]
pub(crate) struct BufferAccount {
    budget: BufferBudget,
    /// The bytes that count for nothing.
    free: usize,
    /// The bytes that the head of the message occupies once it has been read.
    head: usize,
    /// What the body occupies, if its sender has told its length and there is room for it.
    reserved: usize,
    /// The bytes beyond the free ones.
    charged: usize,
    /// The number of the body while it is an incomplete one of a request.
    body: Option<u64>,
}

impl BufferAccount {
    /// Counts what a head of the given length occupies, with its parsed form and the one that is passed
    /// on, from now on.
    pub(super) fn add_head(&mut self, length: usize) -> bool {
        self.head += length * HEAD_COPIES;
        self.grow(0)
    }

    /// Makes room for a body whose length its sender has told; `false` if there is none.
    pub(crate) fn reserve(&mut self, length: usize) -> bool {
        let limit = self.budget.limit;
        let bytes = occupied_by(length);
        let has_room = self.resize(bytes, |used, _| used <= limit);
        self.reserved = if has_room { bytes } else { 0 };
        has_room
    }

    /// Makes room for a body that grows; `false` if there is none. As much as it occupies has to stay
    /// free, so that messages without end give way to each other before they use up the budget.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        if bytes > 0 && bytes <= self.reserved {
            return true;
        }
        let limit = self.budget.limit;
        self.resize(bytes, |used, charged| used + charged <= limit)
    }

    /// Gives up all bytes.
    pub(crate) fn release(&mut self) {
        if self.charged > 0 {
            self.resize(0, |_, _| true);
        }
    }

    /// Lets the body of a request give way to other messages from now on, until it is complete.
    pub(super) fn receive(&mut self) -> Arc<Reception> {
        let reception = Arc::<Reception>::default();
        let mut state = lock(&self.budget.state);
        state.body_count += 1;
        let number = state.body_count;
        let body = IncomingBody {
            reception: reception.clone(),
            charged: self.charged,
            stalled: Duration::ZERO,
            age: Duration::ZERO,
        };
        state.bodies.insert(number, body);
        self.body = Some(number);
        reception
    }

    /// Takes note that the reading of a body is over.
    ///
    /// # Errors
    ///
    /// Fails if others have ended it, even right after its last byte: its memory is counted no longer.
    pub(super) fn complete(&mut self, reception: &Reception) -> Result<()> {
        if let Some(number) = self.body.take() {
            lock(&self.budget.state).bodies.remove(&number);
        }
        match reception.ending() {
            Some(ending) => {
                self.charged = 0;
                Err(ending.into())
            }
            None => Ok(()),
        }
    }

    /// Sets the bytes of the message if the ones that all messages then occupy are allowed. Otherwise the
    /// message has to be given up and occupies nothing from now on, so that others which grow at the same
    /// time find the room that it leaves.
    fn resize(&mut self, bytes: usize, is_allowed: impl Fn(usize, usize) -> bool) -> bool {
        let wanted = (self.head + bytes).saturating_sub(self.free);
        if wanted == self.charged {
            return true;
        }
        let mut state = lock(&self.budget.state);
        if self
            .body
            .is_some_and(|number| !state.bodies.contains_key(&number))
        {
            self.charged = 0;
            return false;
        }
        let total = state.used - self.charged + wanted;
        let fits = wanted <= self.charged
            || state.make_room(self.body, wanted, total, |total| is_allowed(total, wanted));
        let charged = if fits { wanted } else { 0 };
        state.used = state.used - self.charged + charged;
        self.charged = charged;
        if let Some(body) = self.body.and_then(|number| state.bodies.get_mut(&number)) {
            body.charged = charged;
        }
        fits
    }
}

impl Drop for BufferAccount {
    fn drop(&mut self) {
        if self.charged == 0 && self.body.is_none() {
            return;
        }
        let mut state = lock(&self.budget.state);
        let is_ended = self
            .body
            .is_some_and(|number| state.bodies.remove(&number).is_none());
        if !is_ended {
            state.used -= self.charged;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{BODY_TIME_LIMIT, BufferAccount, BufferBudget, SMALL_MESSAGE, STALL_LIMIT};
    use crate::http::reception::{Ending, Reception};

    const INTERVAL: Duration = Duration::from_millis(500);
    const LIMIT: usize = 100_000;

    /// A body that has grown to what occupies `bytes` of the budget, and its reception.
    fn body(budget: &BufferBudget, bytes: usize) -> (BufferAccount, std::sync::Arc<Reception>) {
        let mut account = budget.open_account();
        let reception = account.receive();
        assert!(account.grow(SMALL_MESSAGE + bytes));
        (account, reception)
    }

    // Guards against LOST: bodies that stopped short of their end held the memory that others needed.
    #[test]
    fn stalled_bodies_give_way_before_larger_ones_that_arrive() {
        let budget = BufferBudget::new(LIMIT);
        let (_large, large) = body(&budget, 40_000);
        let (_stalled, stalled) = body(&budget, 10_000);
        large.note_progress();
        budget.sweep(INTERVAL);

        let mut other = budget.open_account();
        assert!(other.reserve(SMALL_MESSAGE + 55_000));

        assert_eq!(stalled.ending(), Some(Ending::GivesWay));
        assert_eq!(large.ending(), None);
        assert_eq!(budget.sweep(INTERVAL).given_way, 1);
    }

    #[test]
    fn largest_body_gives_way_to_a_smaller_message_and_frees_its_memory() {
        let budget = BufferBudget::new(LIMIT);
        let (mut account, large) = body(&budget, 50_000);
        let (_small, small) = body(&budget, 20_000);

        let mut other = budget.open_account();
        assert!(other.grow(SMALL_MESSAGE + 30_000));

        assert_eq!(large.ending(), Some(Ending::GivesWay));
        assert_eq!(small.ending(), None);
        assert!(account.complete(&large).is_err());
        drop(account);
        assert_eq!(budget.used(), 50_000);
    }

    // Guards against LOST: bodies were ended for a message that found no room all the same.
    #[test]
    fn no_body_gives_way_to_a_message_that_cannot_fit() {
        let budget = BufferBudget::new(LIMIT);
        let (_stalled, stalled) = body(&budget, 30_000);
        budget.sweep(INTERVAL);

        assert!(!budget.open_account().reserve(LIMIT * 2));

        assert_eq!(stalled.ending(), None);
    }

    #[test]
    fn complete_body_does_not_give_way() {
        let budget = BufferBudget::new(LIMIT);
        let (mut account, reception) = body(&budget, 40_000);
        assert!(account.complete(&reception).is_ok());
        budget.sweep(INTERVAL);

        assert!(!budget.open_account().reserve(SMALL_MESSAGE + 70_000));
        assert!(!budget.end_stalled_body());

        assert_eq!(budget.used(), 40_000);
    }

    // Guards against Fault: a body without an end was bounded only by the deadline that its caller stated.
    #[test]
    fn body_times_out_without_progress_and_in_the_end_with_it() {
        let budget = BufferBudget::new(LIMIT);
        let (_stalled, stalled) = body(&budget, 0);
        let (_slow, slow) = body(&budget, 0);
        let sweeps = |time: Duration| (time.as_millis() / INTERVAL.as_millis()) as usize;

        for _ in 0..=sweeps(STALL_LIMIT) {
            slow.note_progress();
            budget.sweep(INTERVAL);
        }
        assert_eq!(stalled.ending(), Some(Ending::TimedOut));
        assert_eq!(slow.ending(), None);

        for _ in 0..=sweeps(BODY_TIME_LIMIT) {
            slow.note_progress();
            budget.sweep(INTERVAL);
        }
        assert_eq!(slow.ending(), Some(Ending::TimedOut));
    }
}
