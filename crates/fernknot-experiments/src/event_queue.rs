//! Priority queue of events in simulated time.

use fernknot::interface::Nanos;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Events ordered by time; events due at the same time keep the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    scheduled_count: u64,
}

struct Scheduled<E> {
    at: Nanos,
    /// Position in the order of scheduling, which breaks ties.
    sequence: u64,
    event: E,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled_count: 0 }
    }

    /// Adds an event that is due at `at`.
    pub fn schedule(&mut self, at: Nanos, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Scheduled { at, sequence: self.scheduled_count, event });
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Nanos, E)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}

/// Reversed order: the event that is due first is the greatest, because `BinaryHeap` is a max-heap.
impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Scheduled<E> {}
