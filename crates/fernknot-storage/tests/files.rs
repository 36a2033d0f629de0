mod common;

use std::fs::{self, OpenOptions};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use common::{OnFiles, SMALL_DISK, copy, files};
use fernknot_storage::{Capacity, QueueFull, Storage};
use tempfile::TempDir;
use test_case::test_case;

fn value(n: u8) -> Vec<u8> {
    vec![n; 300 + usize::from(n)]
}

/// A folder as it lies there when the process is killed after these writes, with its one journal.
fn left_behind(writes: u8) -> (TempDir, std::path::PathBuf, Vec<u64>) {
    let (dir, left) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let mut host = OnFiles::start(dir.path());
    let length = || fs::metadata(&files(dir.path(), ".jnl")[0]).unwrap().len();
    let mut lengths = vec![length()];
    for n in 1..=writes {
        host.store("plan", &value(n)).unwrap();
        lengths.push(length());
    }
    copy(dir.path(), left.path());
    let journal = files(left.path(), ".jnl");
    assert_eq!(journal.len(), 1, "one generation is left, with one journal");
    (left, journal[0].clone(), lengths)
}

#[test]
fn given_a_killed_process_when_started_again_then_what_was_stored_is_there_and_more_can_be() {
    let (left, ..) = left_behind(5);
    let mut host = OnFiles::start(left.path());
    assert_eq!(host.value("plan"), Some(&value(5)[..]));
    assert_eq!(host.store("vote", b"x"), Ok(()));
    let copied = TempDir::new().unwrap();
    copy(left.path(), copied.path());
    let host = OnFiles::start(copied.path());
    assert_eq!((host.value("plan"), host.value("vote")), (Some(&value(5)[..]), Some(&b"x"[..])));
}

#[test]
fn given_a_journal_cut_anywhere_when_started_then_all_whole_writes_are_there() {
    let (left, journal, lengths) = left_behind(3);
    let whole = fs::read(&journal).unwrap();
    assert_eq!(whole.len() as u64, lengths[3]);
    for cut in (0..whole.len()).rev().step_by(23) {
        let dir = TempDir::new().unwrap();
        copy(left.path(), dir.path());
        fs::write(dir.path().join(journal.strip_prefix(left.path()).unwrap()), &whole[..cut]).unwrap();
        let writes = lengths.iter().filter(|length| **length <= cut as u64).count() as u8;
        let host = OnFiles::start(dir.path());
        assert!(host.keeper.is_healthy(), "cut at {cut}: {:?}", host.keeper.fault());
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
    let (left, journal, lengths) = left_behind(3);
    for fill in [0, 0xff] {
        let mut bytes = fs::read(&journal).unwrap();
        let last = &mut bytes[lengths[2] as usize..];
        let to = to.min(last.len());
        last[from..to].fill(fill);
        let dir = TempDir::new().unwrap();
        copy(left.path(), dir.path());
        fs::write(dir.path().join(journal.strip_prefix(left.path()).unwrap()), bytes).unwrap();
        let host = OnFiles::start(dir.path());
        assert!(host.keeper.is_healthy(), "{:?}", host.keeper.fault());
        assert_eq!(host.value("plan"), Some(&value(2)[..]));
    }
}

#[test]
fn given_any_file_cut_short_when_started_then_it_opens_or_says_so() {
    let (left, ..) = left_behind(3);
    for file in files(left.path(), "") {
        let length = fs::metadata(&file).unwrap().len();
        for cut in [0, length / 2, length.saturating_sub(1)] {
            let dir = TempDir::new().unwrap();
            copy(left.path(), dir.path());
            let file = dir.path().join(file.strip_prefix(left.path()).unwrap());
            OpenOptions::new().write(true).open(file).unwrap().set_len(cut).unwrap();
            let host = OnFiles::start(dir.path());
            assert!(host.keeper.is_healthy() || host.keeper.fault().is_some());
        }
    }
}

#[test]
fn given_a_sealed_store_that_does_not_open_when_started_then_it_is_left_as_it_is() {
    let (left, ..) = left_behind(2);
    fs::remove_file(&files(left.path(), "version")[0]).unwrap();
    let before = files(left.path(), "").len();
    let host = OnFiles::start(left.path());
    assert!(host.keeper.fault().is_some() && host.keeper.stored().is_none());
    assert_eq!(files(left.path(), "").len(), before);
}

#[test]
fn given_remains_of_a_store_that_was_never_sealed_when_started_then_they_go() {
    let (left, ..) = left_behind(2);
    let half = left.path().join("77");
    fs::create_dir(&half).unwrap();
    fs::write(half.join("version"), b"FJ").unwrap();
    fs::write(half.join("sealed"), b"fernknot cis").unwrap();
    let host = OnFiles::start(left.path());
    assert_eq!(host.value("plan"), Some(&value(2)[..]));
    assert!(!half.exists() && left.path().join("78").exists());
}

fn blocks(dir: &Path) -> u64 {
    files(dir, "").iter().map(|file| fs::metadata(file).unwrap().blocks() * 512).sum()
}

#[test]
fn given_many_rewrites_when_counted_then_the_folder_stays_small() {
    let dir = TempDir::new().unwrap();
    let mut host = OnFiles::start(dir.path());
    let mut most = 0;
    for n in 0..300u32 {
        let mut value = vec![n as u8; 100 << 10];
        value[..4].copy_from_slice(&n.to_le_bytes());
        host.store(["plan", "vote"][n as usize % 2], &value).unwrap();
        most = most.max(blocks(dir.path()));
    }
    assert!(most < SMALL_DISK / 5, "{most} bytes at most, of {} written", 300 * (100 << 10));
    let named: u64 = files(dir.path(), "").iter().map(|file| fs::metadata(file).unwrap().len()).sum();
    assert!(named < SMALL_DISK / 5, "no room stays set aside: {named}");
}

const SPACE: Capacity = Capacity { max_pending_writes: 2, disk_bytes: SMALL_DISK };

#[test]
fn given_a_cistern_when_closed_and_opened_then_its_values_are_there() {
    let dir = TempDir::new().unwrap();
    let (woken, wakes) = mpsc::channel();
    let waker = Box::new(move || woken.send(()).unwrap_or(()));
    let cistern = Storage::open(dir.path().join("new"), SPACE, Some(waker)).unwrap();
    assert_eq!(cistern.load("plan"), Ok(None));
    cistern.submit(41, "plan", value(1)).unwrap();
    let mut done = cistern.take_completed();
    while done.is_empty() {
        wakes.recv().unwrap();
        done = cistern.take_completed();
    }
    assert_eq!(done, [(41, Ok(()))]);
    assert_eq!((cistern.pending_writes(), cistern.oldest_pending_age(Instant::now())), (0, None));
    cistern.close();
    let cistern = Storage::open(dir.path().join("new"), SPACE, None).unwrap();
    assert_eq!(cistern.load("plan"), Ok(Some(value(1))));
    cistern.close();
}

#[test]
fn given_a_thread_that_hangs_when_more_is_handed_over_then_the_caller_is_told() {
    let dir = TempDir::new().unwrap();
    let (go, held) = mpsc::channel::<()>();
    // The thread stands in its waker until the other end is let go.
    let waker = Box::new(move || held.recv().unwrap_or(()));
    let cistern = Storage::open(dir.path().into(), SPACE, Some(waker)).unwrap();
    assert_eq!(cistern.load("plan"), Ok(None));
    cistern.submit(1, "plan", value(1)).unwrap();
    cistern.submit(2, "plan", value(2)).unwrap();
    assert_eq!(cistern.submit(3, "plan", value(3)), Err(QueueFull));
    let later = Instant::now() + Duration::from_secs(5);
    assert!(cistern.oldest_pending_age(later).unwrap() >= Duration::from_secs(5));
    drop(go);
    cistern.close();
    let cistern = Storage::open(dir.path().into(), SPACE, None).unwrap();
    assert_eq!(cistern.load("plan"), Ok(Some(value(2))));
    cistern.close();
}

#[test]
fn given_a_folder_that_cannot_be_opened_when_loaded_then_it_says_so() {
    let dir = TempDir::new().unwrap();
    let file = dir.path().join("file");
    fs::write(&file, b"in the way").unwrap();
    let cistern = Storage::open(file, SPACE, None).unwrap();
    assert!(cistern.load("plan").is_err());
    assert!(!cistern.is_healthy());
    cistern.close();
}
