//! Stores on real files: what a killed process, a torn journal or a damaged file leaves behind.

mod common;

use std::fs::{self, OpenOptions};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use common::{FileHost, SMALL_DISK, copy_directory, files};
use fernknot_storage::{Capacity, CompletedWrite, QueueFull, Storage};
use tempfile::TempDir;
use test_case::test_case;

fn value(n: u8) -> Vec<u8> {
    vec![n; 300 + usize::from(n)]
}

/// A directory as it is when the process is killed after these writes, its one journal, and the journal's length after
/// each write.
fn directory_after_kill(writes: u8) -> (TempDir, std::path::PathBuf, Vec<u64>) {
    let (dir, left) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let mut host = FileHost::start(dir.path());
    let length = || fs::metadata(&files(dir.path(), ".jnl")[0]).unwrap().len();
    let mut lengths = vec![length()];
    for n in 1..=writes {
        host.store("plan", &value(n)).unwrap();
        lengths.push(length());
    }
    copy_directory(dir.path(), left.path());
    let journal = files(left.path(), ".jnl");
    assert_eq!(journal.len(), 1, "one generation is left, with one journal");
    (left, journal[0].clone(), lengths)
}

#[test]
fn given_a_killed_process_when_restarted_then_stored_values_are_there_and_more_can_be_stored() {
    let (left, ..) = directory_after_kill(5);
    let mut host = FileHost::start(left.path());
    assert_eq!(host.value("plan"), Some(&value(5)[..]));
    assert_eq!(host.store("vote", b"x"), Ok(()));
    let copied = TempDir::new().unwrap();
    copy_directory(left.path(), copied.path());
    let host = FileHost::start(copied.path());
    assert_eq!((host.value("plan"), host.value("vote")), (Some(&value(5)[..]), Some(&b"x"[..])));
}

#[test]
fn given_a_journal_truncated_anywhere_when_started_then_all_complete_writes_are_there() {
    let (left, journal, lengths) = directory_after_kill(3);
    let complete = fs::read(&journal).unwrap();
    assert_eq!(complete.len() as u64, lengths[3]);
    for cut in (0..complete.len()).rev().step_by(23) {
        let dir = TempDir::new().unwrap();
        copy_directory(left.path(), dir.path());
        fs::write(dir.path().join(journal.strip_prefix(left.path()).unwrap()), &complete[..cut]).unwrap();
        let writes = lengths.iter().filter(|length| **length <= cut as u64).count() as u8;
        let host = FileHost::start(dir.path());
        assert!(host.manager.is_healthy(), "cut at {cut}: {:?}", host.manager.fault());
        let expected = writes.checked_sub(1).filter(|n| *n > 0).map(value);
        assert_eq!(host.value("plan").map(<[u8]>::to_vec), expected, "cut at {cut}");
    }
}

/// Of a write that was not synced any part may be missing, with what follows it there.
#[test_case(0, 20; "its start")]
#[test_case(0, 200; "its start and some of its value")]
#[test_case(60, 180; "some of its value")]
#[test_case(300, 400; "its end")]
fn given_a_hole_in_the_last_write_when_started_then_all_before_it_is_there(from: usize, to: usize) {
    let (left, journal, lengths) = directory_after_kill(3);
    for fill in [0, 0xff] {
        let mut bytes = fs::read(&journal).unwrap();
        let last = &mut bytes[lengths[2] as usize..];
        let to = to.min(last.len());
        last[from..to].fill(fill);
        let dir = TempDir::new().unwrap();
        copy_directory(left.path(), dir.path());
        fs::write(dir.path().join(journal.strip_prefix(left.path()).unwrap()), bytes).unwrap();
        let host = FileHost::start(dir.path());
        assert!(host.manager.is_healthy(), "{:?}", host.manager.fault());
        assert_eq!(host.value("plan"), Some(&value(2)[..]));
    }
}

#[test]
fn given_any_file_truncated_when_started_then_it_opens_or_reports_a_fault() {
    let (left, ..) = directory_after_kill(3);
    for file in files(left.path(), "") {
        let length = fs::metadata(&file).unwrap().len();
        for cut in [0, length / 2, length.saturating_sub(1)] {
            let dir = TempDir::new().unwrap();
            copy_directory(left.path(), dir.path());
            let file = dir.path().join(file.strip_prefix(left.path()).unwrap());
            OpenOptions::new().write(true).open(file).unwrap().set_len(cut).unwrap();
            let host = FileHost::start(dir.path());
            assert!(host.manager.is_healthy() || host.manager.fault().is_some());
        }
    }
}

#[test]
fn given_a_sealed_store_that_does_not_open_when_started_then_it_is_left_as_it_is() {
    let (left, ..) = directory_after_kill(2);
    fs::remove_file(&files(left.path(), "version")[0]).unwrap();
    let before = files(left.path(), "").len();
    let host = FileHost::start(left.path());
    assert!(host.manager.fault().is_some() && host.manager.stored().is_none());
    assert_eq!(files(left.path(), "").len(), before);
}

#[test]
fn given_remains_of_a_store_that_was_never_sealed_when_started_then_they_are_removed() {
    let (left, ..) = directory_after_kill(2);
    let half = left.path().join("77");
    fs::create_dir(&half).unwrap();
    fs::write(half.join("version"), b"FJ").unwrap();
    fs::write(half.join("sealed"), b"fernknot cis").unwrap();
    let host = FileHost::start(left.path());
    assert_eq!(host.value("plan"), Some(&value(2)[..]));
    assert!(!half.exists() && left.path().join("78").exists());
}

fn block_bytes(dir: &Path) -> u64 {
    files(dir, "").iter().map(|file| fs::metadata(file).unwrap().blocks() * 512).sum()
}

#[test]
fn given_many_rewrites_when_measured_then_the_directory_stays_small() {
    let dir = TempDir::new().unwrap();
    let mut host = FileHost::start(dir.path());
    let mut max_blocks = 0;
    for n in 0..300u32 {
        let mut value = vec![n as u8; 100 << 10];
        value[..4].copy_from_slice(&n.to_le_bytes());
        host.store(["plan", "vote"][n as usize % 2], &value).unwrap();
        max_blocks = max_blocks.max(block_bytes(dir.path()));
    }
    assert!(
        max_blocks < SMALL_DISK / 5,
        "{max_blocks} bytes at max_blocks, of {} written",
        300 * (100 << 10)
    );
    let total_length: u64 = files(dir.path(), "").iter().map(|file| fs::metadata(file).unwrap().len()).sum();
    assert!(total_length < SMALL_DISK / 5, "nothing stays preallocated: {total_length}");
}

const CAPACITY: Capacity = Capacity { max_pending_writes: 2, disk_bytes: SMALL_DISK };

#[test]
fn given_a_storage_when_closed_and_reopened_then_its_values_are_there() {
    let dir = TempDir::new().unwrap();
    let (wake_sender, wakes) = mpsc::channel();
    let waker = Box::new(move || wake_sender.send(()).unwrap_or(()));
    let storage = Storage::open(dir.path().join("new"), CAPACITY, Some(waker)).unwrap();
    assert_eq!(storage.load("plan"), Ok(None));
    storage.submit(41, "plan", value(1)).unwrap();
    let mut completed = storage.take_completed();
    while completed.is_empty() {
        wakes.recv().unwrap();
        completed = storage.take_completed();
    }
    assert_eq!(completed, [CompletedWrite { write_id: 41, result: Ok(()) }]);
    assert_eq!((storage.pending_writes(), storage.oldest_pending_age(Instant::now())), (0, None));
    storage.close();
    let storage = Storage::open(dir.path().join("new"), CAPACITY, None).unwrap();
    assert_eq!(storage.load("plan"), Ok(Some(value(1))));
    storage.close();
}

#[test]
fn given_a_thread_that_hangs_when_more_is_submitted_then_the_queue_is_full() {
    let dir = TempDir::new().unwrap();
    let (release, blocked) = mpsc::channel::<()>();
    // The thread stays in its waker until the other end is dropped.
    let waker = Box::new(move || blocked.recv().unwrap_or(()));
    let storage = Storage::open(dir.path().into(), CAPACITY, Some(waker)).unwrap();
    assert_eq!(storage.load("plan"), Ok(None));
    storage.submit(1, "plan", value(1)).unwrap();
    storage.submit(2, "plan", value(2)).unwrap();
    assert_eq!(storage.submit(3, "plan", value(3)), Err(QueueFull));
    let later = Instant::now() + Duration::from_secs(5);
    assert!(storage.oldest_pending_age(later).unwrap() >= Duration::from_secs(5));
    drop(release);
    storage.close();
    let storage = Storage::open(dir.path().into(), CAPACITY, None).unwrap();
    assert_eq!(storage.load("plan"), Ok(Some(value(2))));
    storage.close();
}

#[test]
fn given_a_directory_that_cannot_be_opened_when_loaded_then_it_returns_the_error() {
    let dir = TempDir::new().unwrap();
    let file = dir.path().join("file");
    fs::write(&file, b"in the way").unwrap();
    let storage = Storage::open(file, CAPACITY, None).unwrap();
    assert!(storage.load("plan").is_err());
    assert!(!storage.is_healthy());
    storage.close();
}
