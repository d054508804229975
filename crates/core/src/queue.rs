//! Work that waits for a slot of one backend server.

use std::collections::{BTreeMap, VecDeque};

use crate::catalogue::Class;
use crate::time::Time;

/// A bounded queue that serves higher classes first.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    bound: usize,
    classes: BTreeMap<Class, VecDeque<Waiting<T>>>,
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    deadline: Time,
    item: T,
}

impl<T> Queue<T> {
    /// Makes an empty queue.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            classes: BTreeMap::new(),
        }
    }

    /// Changes how many items may wait.
    pub fn resize(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.classes.values().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an item; returns the item that has no room.
    ///
    /// A full queue gives up the newest item of its lowest class, which may be the one added.
    pub fn push(&mut self, class: Class, deadline: Time, item: T) -> Option<T> {
        let waiting = Waiting { deadline, item };
        self.classes.entry(class).or_default().push_back(waiting);
        if self.len() <= self.bound {
            return None;
        }
        let lowest = self.classes.values_mut().find(|line| !line.is_empty())?;
        lowest.pop_back().map(|waiting| waiting.item)
    }

    /// Takes out the oldest item of the highest class.
    pub fn pop(&mut self) -> Option<T> {
        let highest = self
            .classes
            .values_mut()
            .rev()
            .find(|line| !line.is_empty())?;
        highest.pop_front().map(|waiting| waiting.item)
    }

    /// Takes out every item that `matches`.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.take(|waiting| matches(&waiting.item))
    }

    /// Takes out every item whose deadline is at `time` or earlier.
    pub fn expire(&mut self, time: Time) -> Vec<T> {
        self.take(|waiting| waiting.deadline <= time)
    }

    fn take(&mut self, mut matches: impl FnMut(&Waiting<T>) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for line in self.classes.values_mut() {
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(line).into_iter().partition(&mut matches);
            *line = kept;
            taken.extend(out.into_iter().map(|waiting| waiting.item));
        }
        taken
    }
}
