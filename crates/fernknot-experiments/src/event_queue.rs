//! Events in simulated time.

use fernknot::interface::Nanos;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Events in the order of their times, and of their scheduling at one time.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    scheduled: u64,
}

struct Scheduled<E> {
    at: Nanos,
    /// How many were scheduled before.
    sequence: u64,
    event: E,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub fn new() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Nanos, event: E) {
        self.scheduled += 1;
        self.heap.push(Scheduled { at, sequence: self.scheduled, event });
    }

    /// The next event, and its time.
    pub fn pop(&mut self) -> Option<(Nanos, E)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}

/// The one that is due first is the greatest, as the heap gives the greatest first.
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
