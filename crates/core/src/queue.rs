//! The queue of requests that wait for a slot of one backend server.

use std::collections::{BTreeMap, VecDeque};

use crate::catalogue::Class;
use crate::time::Time;

/// A bounded priority queue; higher classes are served first, FIFO within a class.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    capacity: usize,
    classes: BTreeMap<Class, VecDeque<QueuedItem<T>>>,
}

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    deadline: Time,
    item: T,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            classes: BTreeMap::new(),
        }
    }

    /// Changes the capacity; items over it stay queued.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The number of queued items.
    pub fn len(&self) -> usize {
        self.classes.values().map(VecDeque::len).sum()
    }

    /// Whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an item; returns the item that was evicted, if any.
    ///
    /// A full queue evicts the newest item of its lowest class, which may be the one added.
    pub fn push(&mut self, class: Class, deadline: Time, item: T) -> Option<T> {
        let queued = QueuedItem { deadline, item };
        self.classes.entry(class).or_default().push_back(queued);
        if self.len() <= self.capacity {
            return None;
        }
        let lowest = self.classes.values_mut().find(|queue| !queue.is_empty())?;
        lowest.pop_back().map(|queued| queued.item)
    }

    /// Removes the oldest item of the highest class.
    pub fn pop(&mut self) -> Option<T> {
        let highest = self
            .classes
            .values_mut()
            .rev()
            .find(|queue| !queue.is_empty())?;
        highest.pop_front().map(|queued| queued.item)
    }

    /// Removes every item that `matches`.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.extract_if(|queued| matches(&queued.item))
    }

    /// Removes every item whose deadline is at `time` or earlier.
    pub fn expire(&mut self, time: Time) -> Vec<T> {
        self.extract_if(|queued| queued.deadline <= time)
    }

    fn extract_if(&mut self, mut matches: impl FnMut(&QueuedItem<T>) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.classes.values_mut() {
            let (matched, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(queue).into_iter().partition(&mut matches);
            *queue = kept;
            removed.extend(matched.into_iter().map(|queued| queued.item));
        }
        removed
    }
}
