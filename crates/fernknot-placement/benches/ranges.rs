//! Benchmark of the map's B-tree against a sorted list and a list of lists, at 1,000, 100,000 and 1,000,000 ranges: a
//! look-up, a split with the merge that reverts it, and the bytes of each; and of the map itself.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::{Epoch, KeyRange, Owners, OwnershipChange, PlacementMap, Source};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Number of keys in one range.
const KEYS_PER_RANGE: u64 = 1 << 20;
/// Initial number of rows in one list of [`ListOfLists`].
const INITIAL_LIST_ROWS: usize = 256;
/// Maximum number of rows in one list of [`ListOfLists`].
const MAX_LIST_ROWS: usize = 512;

/// Row that all structures store, so that they differ only in their shape.
#[derive(Clone)]
struct Row {
    last: u64,
    epoch: u64,
    owners: Box<[u32]>,
}

fn row(index: u64) -> (u64, Row) {
    let owners = vec![index as u32 % 60, (index as u32 + 1) % 60, (index as u32 + 2) % 60].into();
    (index * KEYS_PER_RANGE, Row { last: index * KEYS_PER_RANGE + KEYS_PER_RANGE - 1, epoch: 1, owners })
}

trait Ranges: Clone {
    fn build(count: u64) -> Self;
    fn lookup(&self, key: u64) -> Option<&Row>;
    fn split(&mut self, at: u64);
    fn merge(&mut self, at: u64);
    fn bytes(&self) -> usize;
}

#[derive(Clone)]
struct SortedList(Vec<(u64, Row)>);

impl Ranges for SortedList {
    fn build(count: u64) -> SortedList {
        SortedList((0..count).map(row).collect())
    }
    fn lookup(&self, key: u64) -> Option<&Row> {
        let next = self.0.partition_point(|(first, _)| *first <= key);
        self.0.get(next.checked_sub(1)?).map(|(_, row)| row).filter(|row| key <= row.last)
    }
    fn split(&mut self, at: u64) {
        let next = self.0.partition_point(|(first, _)| *first <= at);
        let mut right = self.0[next - 1].1.clone();
        self.0[next - 1].1.last = at - 1;
        right.epoch += 1;
        self.0.insert(next, (at, right));
    }
    fn merge(&mut self, at: u64) {
        let next = self.0.partition_point(|(first, _)| *first <= at);
        let (_, right) = self.0.remove(next - 1);
        self.0[next - 2].1.last = right.last;
    }
    fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<(u64, Row)>()
    }
}

#[derive(Clone)]
struct Tree(BTreeMap<u64, Row>);

impl Ranges for Tree {
    fn build(count: u64) -> Tree {
        Tree((0..count).map(row).collect())
    }
    fn lookup(&self, key: u64) -> Option<&Row> {
        self.0.range(..=key).next_back().map(|(_, row)| row).filter(|row| key <= row.last)
    }
    fn split(&mut self, at: u64) {
        if let Some((_, left)) = self.0.range_mut(..=at).next_back() {
            let mut right = left.clone();
            left.last = at - 1;
            right.epoch += 1;
            self.0.insert(at, right);
        }
    }
    fn merge(&mut self, at: u64) {
        if let Some(right) = self.0.remove(&at)
            && let Some((_, left)) = self.0.range_mut(..at).next_back()
        {
            left.last = right.last;
        }
    }
    /// Estimated memory of the B-tree: nodes of eleven entries, two thirds full, and a pointer for each child.
    fn bytes(&self) -> usize {
        self.0.len() * size_of::<(u64, Row)>() * 3 / 2 + self.0.len() * 2
    }
}

/// Lists of at most `MAX_LIST_ROWS` rows, found by the first key of each.
#[derive(Clone)]
struct ListOfLists(Vec<(u64, Vec<(u64, Row)>)>);

impl ListOfLists {
    fn list(&self, key: u64) -> Option<usize> {
        self.0.partition_point(|(first, _)| *first <= key).checked_sub(1)
    }
}

impl Ranges for ListOfLists {
    fn build(count: u64) -> ListOfLists {
        let rows: Vec<(u64, Row)> = (0..count).map(row).collect();
        ListOfLists(rows.chunks(INITIAL_LIST_ROWS).map(|rows| (rows[0].0, rows.to_vec())).collect())
    }
    fn lookup(&self, key: u64) -> Option<&Row> {
        let (_, rows) = &self.0[self.list(key)?];
        let next = rows.partition_point(|(first, _)| *first <= key);
        rows.get(next.checked_sub(1)?).map(|(_, row)| row).filter(|row| key <= row.last)
    }
    fn split(&mut self, at: u64) {
        let Some(list) = self.list(at) else { return };
        let rows = &mut self.0[list].1;
        let next = rows.partition_point(|(first, _)| *first <= at);
        let mut right = rows[next - 1].1.clone();
        rows[next - 1].1.last = at - 1;
        right.epoch += 1;
        rows.insert(next, (at, right));
        if rows.len() > MAX_LIST_ROWS {
            let right = rows.split_off(INITIAL_LIST_ROWS);
            self.0.insert(list + 1, (right[0].0, right));
        }
    }
    fn merge(&mut self, at: u64) {
        let Some(list) = self.list(at) else { return };
        let rows = &mut self.0[list].1;
        let next = rows.partition_point(|(first, _)| *first <= at);
        if next >= 2 {
            let (_, right) = rows.remove(next - 1);
            rows[next - 2].1.last = right.last;
        }
    }
    fn bytes(&self) -> usize {
        let rows = |(_, rows): &(u64, Vec<(u64, Row)>)| rows.capacity() * size_of::<(u64, Row)>() + 32;
        self.0.iter().map(rows).sum()
    }
}

fn measure<R: Ranges>(criterion: &mut Criterion, name: &str, count: u64) {
    let mut ranges = R::build(count);
    println!("{name} of {count}: {} bytes a range and its owners", ranges.bytes() as u64 / count + 12);
    let mut key = 1u64;
    let mut next_key = move || {
        key = key.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (key >> 20) % (count * KEYS_PER_RANGE)
    };
    let mut group = criterion.benchmark_group(format!("{count} ranges"));
    group.bench_function(BenchmarkId::new("look-up", name), |bench| {
        bench.iter(|| ranges.lookup(black_box(next_key())).map(|row| row.owners[0]))
    });
    group.bench_function(BenchmarkId::new("split and merge", name), |bench| {
        bench.iter(|| {
            let at = next_key() / KEYS_PER_RANGE * KEYS_PER_RANGE + KEYS_PER_RANGE / 2;
            ranges.split(at);
            ranges.merge(at);
        })
    });
}

fn structures(criterion: &mut Criterion) {
    for count in [1_000, 100_000, 1_000_000] {
        measure::<SortedList>(criterion, "sorted list", count);
        measure::<Tree>(criterion, "b-tree", count);
        measure::<ListOfLists>(criterion, "list of lists", count);
    }
}

/// Benchmarks the map itself, with epochs, stages and merges.
fn map(criterion: &mut Criterion) {
    let change = |index: u64, epoch: u64| OwnershipChange {
        range: KeyRange { first: index * KEYS_PER_RANGE, last: index * KEYS_PER_RANGE + KEYS_PER_RANGE - 1 },
        epoch: Epoch(epoch),
        owners: Owners::new([NodeId(index as u32 % 60), NodeId((index as u32 + epoch as u32) % 60)]),
        migration: None,
    };
    for count in [1_000u64, 100_000] {
        let mut map = PlacementMap::default();
        (0..count).for_each(|index| {
            map.apply(Nanos(1), &change(index, 1), Source::EndpointList);
        });
        let mut index = 0;
        criterion.bench_function(&format!("map of {count}: segments of one block"), |bench| {
            bench.iter(|| {
                index = (index + 7919) % count;
                map.segments(black_box(change(index, 1).range))
            })
        });
        let mut epoch = 1;
        criterion.bench_function(&format!("map of {count}: a change of owners"), |bench| {
            bench.iter_batched(
                || {
                    (index, epoch) = ((index + 7919) % count, epoch + 1);
                    change(index, epoch)
                },
                |change| map.apply(Nanos(2), &change, Source::Owner),
                BatchSize::SmallInput,
            )
        });
    }
}

criterion_group!(benches, structures, map);
criterion_main!(benches);
