//! A bound on the memory that messages occupy together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of one message that every request in hand has room for, whatever other messages occupy, so that
/// huge messages keep no ordinary one from being read.
pub(super) const SMALL_MESSAGE: usize = 8 << 10;

/// Copies of a head that exist at a time.
const HEAD_COPIES: usize = 3;

/// The number of bytes that all messages may occupy beyond [`SMALL_MESSAGE`] each.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// The bytes that all messages occupy.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
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
    /// The length of the body, if its sender has told it and there is room for it.
    reserved: usize,
    /// The bytes beyond the free ones.
    charged: usize,
}

impl BufferAccount {
    /// Counts what a head of the given length occupies, with its parsed form and the one that is passed
    /// on, from now on.
    pub(super) fn add_head(&mut self, length: usize) -> bool {
        self.head += length * HEAD_COPIES;
        self.grow(0)
    }

    /// Makes room for a body whose length its sender has told; `false` if there is none.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
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

    /// Sets the bytes of the message if the ones that all messages then occupy are allowed. Otherwise the
    /// message has to be given up and occupies nothing from now on, so that others which grow at the same
    /// time find the room that it leaves.
    fn resize(&mut self, bytes: usize, is_allowed: impl Fn(usize, usize) -> bool) -> bool {
        let before = self.charged;
        let wanted = (self.head + bytes).saturating_sub(self.free);
        let next = |used: usize| {
            let total = used - before + wanted;
            let fits = wanted <= before || is_allowed(total, wanted);
            (fits, if fits { total } else { used - before })
        };
        let used = &self.budget.used;
        let update = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            Some(next(used).1)
        });
        let (Ok(used) | Err(used)) = update;
        let (fits, _) = next(used);
        self.charged = if fits { wanted } else { 0 };
        fits
    }
}

impl Drop for BufferAccount {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.charged, Ordering::Relaxed);
    }
}
