//! Plays side by side, whose results stand in the order of the cases.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The result of each case, in their order. A play that panics ends the lab.
pub fn over<C: Sync, R: Send>(cases: &[C], play: impl Fn(&C) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let lane = || {
        let mut results = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(index) else { return results };
            results.push((index, play(case)));
        }
    };
    let lanes = thread::available_parallelism().map_or(1, usize::from).min(cases.len().max(1));
    let mut results: Vec<(usize, R)> = thread::scope(|scope| {
        let running: Vec<_> = (0..lanes).map(|_| scope.spawn(lane)).collect();
        running.into_iter().flat_map(|lane| lane.join().expect("a run that panics ends the lab")).collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
