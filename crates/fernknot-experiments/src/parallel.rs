//! Parallel runs with results in the order of the cases.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Runs all cases on the available cores and returns their results in order.
///
/// # Panics
///
/// Panics if a run panics.
pub(crate) fn map<C: Sync, R: Send>(cases: &[C], run: impl Fn(&C) -> R + Sync) -> Vec<R> {
    let next_case = AtomicUsize::new(0);
    let worker = || {
        let mut results = Vec::new();
        loop {
            let index = next_case.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(index) else { return results };
            results.push((index, run(case)));
        }
    };
    let workers = thread::available_parallelism().map_or(1, usize::from).min(cases.len().max(1));
    let mut results: Vec<(usize, R)> = thread::scope(|scope| {
        let running: Vec<_> = (0..workers).map(|_| scope.spawn(worker)).collect();
        let join = |worker: thread::ScopedJoinHandle<'_, Vec<(usize, R)>>| {
            worker.join().expect("a run that panics ends the program")
        };
        running.into_iter().flat_map(join).collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
