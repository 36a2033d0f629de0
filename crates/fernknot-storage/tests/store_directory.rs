//! Stores on real files after a killed process, a torn journal or a damaged file.

mod common;

use std::fs::{self, OpenOptions};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use common::{FileHost, SMALL_DISK_BYTES, copy_directory, files};
use fernknot_storage::{Capacity, CompletedWrite, QueueFull, Storage};
use tempfile::TempDir;
use test_case::test_case;

fn value(n: u8) -> Vec<u8> {
    vec![n; 300 + usize::from(n)]
}

/// Returns a copy of the directory of a process that was killed after this number of writes, the path of its only
/// journal, and the journal's length before the first and after each write.
fn directory_after_kill(writes: u8) -> (TempDir, std::path::PathBuf, Vec<u64>) {
    let (dir, killed_dir) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let mut host = FileHost::start(dir.path());
    let length = || fs::metadata(&files(dir.path(), ".jnl")[0]).unwrap().len();
    let mut lengths = vec![length()];
    for n in 1..=writes {
        host.store("plan", &value(n)).unwrap();
        lengths.push(length());
    }
    copy_directory(dir.path(), killed_dir.path());
    let journal = files(killed_dir.path(), ".jnl");
    assert_eq!(journal.len(), 1, "there is one generation with one journal");
    (killed_dir, journal[0].clone(), lengths)
}

#[test]
fn given_a_killed_process_when_restarted_then_stored_values_are_read_and_more_can_be_stored() {
    let (killed_dir, ..) = directory_after_kill(5);
    let mut host = FileHost::start(killed_dir.path());
    assert_eq!(host.value("plan"), Some(&value(5)[..]));
    assert_eq!(host.store("vote", b"x"), Ok(()));
    let copied = TempDir::new().unwrap();
    copy_directory(killed_dir.path(), copied.path());
    let host = FileHost::start(copied.path());
    assert_eq!((host.value("plan"), host.value("vote")), (Some(&value(5)[..]), Some(&b"x"[..])));
}

#[test]
fn given_a_journal_truncated_at_any_length_when_started_then_all_complete_writes_are_read() {
    let (killed_dir, journal, lengths) = directory_after_kill(3);
    let complete = fs::read(&journal).unwrap();
    assert_eq!(complete.len() as u64, lengths[3]);
    for truncated_length in (0..complete.len()).rev().step_by(23) {
        let dir = TempDir::new().unwrap();
        copy_directory(killed_dir.path(), dir.path());
        fs::write(
            dir.path().join(journal.strip_prefix(killed_dir.path()).unwrap()),
            &complete[..truncated_length],
        )
        .unwrap();
        let writes = lengths.iter().filter(|length| **length <= truncated_length as u64).count() as u8;
        let host = FileHost::start(dir.path());
        assert!(host.manager.is_healthy(), "truncated to {truncated_length}: {:?}", host.manager.fault());
        let expected = writes.checked_sub(1).filter(|n| *n > 0).map(value);
        assert_eq!(host.value("plan").map(<[u8]>::to_vec), expected, "truncated to {truncated_length}");
    }
}

/// Any part of an unsynced write may be missing after a power loss although later parts are present.
#[test_case(0, 20; "its start")]
#[test_case(0, 200; "its start and some of its value")]
#[test_case(60, 180; "some of its value")]
#[test_case(300, 400; "its end")]
fn given_a_hole_in_the_last_write_when_started_then_all_earlier_writes_are_read(from: usize, to: usize) {
    let (killed_dir, journal, lengths) = directory_after_kill(3);
    for fill in [0, 0xff] {
        let mut bytes = fs::read(&journal).unwrap();
        let last = &mut bytes[lengths[2] as usize..];
        let to = to.min(last.len());
        last[from..to].fill(fill);
        let dir = TempDir::new().unwrap();
        copy_directory(killed_dir.path(), dir.path());
        fs::write(dir.path().join(journal.strip_prefix(killed_dir.path()).unwrap()), bytes).unwrap();
        let host = FileHost::start(dir.path());
        assert!(host.manager.is_healthy(), "{:?}", host.manager.fault());
        assert_eq!(host.value("plan"), Some(&value(2)[..]));
    }
}

#[test]
fn given_any_file_truncated_when_started_then_it_opens_or_reports_a_fault() {
    let (killed_dir, ..) = directory_after_kill(3);
    for file in files(killed_dir.path(), "") {
        let length = fs::metadata(&file).unwrap().len();
        for truncated_length in [0, length / 2, length.saturating_sub(1)] {
            let dir = TempDir::new().unwrap();
            copy_directory(killed_dir.path(), dir.path());
            let file = dir.path().join(file.strip_prefix(killed_dir.path()).unwrap());
            OpenOptions::new().write(true).open(file).unwrap().set_len(truncated_length).unwrap();
            let host = FileHost::start(dir.path());
            assert!(host.manager.is_healthy() || host.manager.fault().is_some());
        }
    }
}

#[test]
fn given_a_sealed_store_that_cannot_be_opened_when_started_then_its_files_are_kept() {
    let (killed_dir, ..) = directory_after_kill(2);
    fs::remove_file(&files(killed_dir.path(), "version")[0]).unwrap();
    let file_count = files(killed_dir.path(), "").len();
    let host = FileHost::start(killed_dir.path());
    assert!(host.manager.fault().is_some() && host.manager.stored().is_none());
    assert_eq!(files(killed_dir.path(), "").len(), file_count);
}

#[test]
fn given_an_incomplete_store_without_a_valid_seal_when_started_then_it_is_removed() {
    let (killed_dir, ..) = directory_after_kill(2);
    let unsealed_dir = killed_dir.path().join("77");
    fs::create_dir(&unsealed_dir).unwrap();
    fs::write(unsealed_dir.join("version"), b"FJ").unwrap();
    fs::write(unsealed_dir.join("sealed"), b"fernknot cis").unwrap();
    let host = FileHost::start(killed_dir.path());
    assert_eq!(host.value("plan"), Some(&value(2)[..]));
    assert!(!unsealed_dir.exists() && killed_dir.path().join("78").exists());
}

fn allocated_bytes(dir: &Path) -> u64 {
    files(dir, "").iter().map(|file| fs::metadata(file).unwrap().blocks() * 512).sum()
}

#[test]
fn given_many_rewrites_when_the_directory_is_measured_then_it_stays_small() {
    let dir = TempDir::new().unwrap();
    let mut host = FileHost::start(dir.path());
    let mut max_allocated_bytes = 0;
    for n in 0..300u32 {
        let mut value = vec![n as u8; 100 << 10];
        value[..4].copy_from_slice(&n.to_le_bytes());
        host.store(["plan", "vote"][n as usize % 2], &value).unwrap();
        max_allocated_bytes = max_allocated_bytes.max(allocated_bytes(dir.path()));
    }
    assert!(
        max_allocated_bytes < SMALL_DISK_BYTES / 5,
        "{max_allocated_bytes} bytes allocated at most, of {} written",
        300 * (100 << 10)
    );
    let total_length: u64 = files(dir.path(), "").iter().map(|file| fs::metadata(file).unwrap().len()).sum();
    assert!(total_length < SMALL_DISK_BYTES / 5, "no file stays preallocated: {total_length}");
}

const CAPACITY: Capacity = Capacity { max_pending_writes: 2, disk_bytes: SMALL_DISK_BYTES };

#[test]
fn given_a_storage_when_closed_and_reopened_then_its_values_are_read() {
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
fn given_a_hanging_thread_when_too_many_writes_are_submitted_then_the_queue_is_full() {
    let dir = TempDir::new().unwrap();
    let (release_sender, release) = mpsc::channel::<()>();
    // The storage thread blocks in its waker until the sender is dropped.
    let waker = Box::new(move || release.recv().unwrap_or(()));
    let storage = Storage::open(dir.path().into(), CAPACITY, Some(waker)).unwrap();
    assert_eq!(storage.load("plan"), Ok(None));
    storage.submit(1, "plan", value(1)).unwrap();
    storage.submit(2, "plan", value(2)).unwrap();
    assert_eq!(storage.submit(3, "plan", value(3)), Err(QueueFull));
    let later = Instant::now() + Duration::from_secs(5);
    assert!(storage.oldest_pending_age(later).unwrap() >= Duration::from_secs(5));
    drop(release_sender);
    storage.close();
    let storage = Storage::open(dir.path().into(), CAPACITY, None).unwrap();
    assert_eq!(storage.load("plan"), Ok(Some(value(2))));
    storage.close();
}

#[test]
fn given_a_directory_that_cannot_be_opened_when_loaded_then_it_returns_the_error() {
    let dir = TempDir::new().unwrap();
    let file = dir.path().join("file");
    fs::write(&file, b"not a directory").unwrap();
    let storage = Storage::open(file, CAPACITY, None).unwrap();
    assert!(storage.load("plan").is_err());
    assert!(!storage.is_healthy());
    storage.close();
}
