//! A directory that an earlier release left behind is read, and the same writes leave the same bytes.
//!
//! `fixtures/store` was written by the build of commit 25f41f5. Don't record it anew to make a test pass: a
//! difference means that the disk of that release can't be read, or that it can't read a new one.

mod common;

use common::{FileHost, copy_directory};
use fernknot_storage::{MAX_KEY_BYTES, StorageError};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// The largest key as the recorded directory has it.
const RECORDED_KEY_BYTES: usize = 256;
/// Files of a generation that don't depend on the time at which it was made: the journal, the seal by which the
/// generation counts, and the version of the store.
const LASTING_FILES: [&str; 3] = ["1/0.jnl", "1/sealed", "1/version"];

fn recorded() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store")
}

fn longest_key() -> String {
    "k".repeat(RECORDED_KEY_BYTES)
}

/// The writes that left the recorded directory behind.
fn write_as_recorded(host: &mut FileHost) -> Result<(), StorageError> {
    host.store("plan", b"first value of the plan")?;
    host.store("vote", b"value of the vote")?;
    host.store(&longest_key(), b"value under the longest key")?;
    host.store("plan", b"second value of the plan")
}

#[test]
fn given_a_recorded_directory_when_opened_then_its_values_are_there_and_more_can_be_stored() {
    let directory = TempDir::new().unwrap();
    copy_directory(&recorded(), directory.path());
    let mut host = FileHost::start(directory.path());
    assert!(host.manager.is_healthy(), "{:?}", host.manager.fault());
    assert_eq!(host.manager.stored().map(|values| values.len()), Some(3));
    assert_eq!(host.value("plan"), Some(&b"second value of the plan"[..]));
    assert_eq!(host.value("vote"), Some(&b"value of the vote"[..]));
    assert_eq!(host.value(&longest_key()), Some(&b"value under the longest key"[..]));
    assert_eq!(host.store("plan", b"third value of the plan"), Ok(()));
}

#[test]
fn given_the_recorded_writes_when_made_again_then_the_files_have_the_recorded_bytes() {
    let directory = TempDir::new().unwrap();
    write_as_recorded(&mut FileHost::start(directory.path())).unwrap();
    for file in LASTING_FILES {
        let written = fs::read(directory.path().join(file)).unwrap();
        assert_eq!(written, fs::read(recorded().join(file)).unwrap(), "{file}");
    }
}

#[test]
fn given_the_longest_key_when_it_is_one_byte_longer_then_it_is_rejected() {
    assert_eq!(MAX_KEY_BYTES, RECORDED_KEY_BYTES);
    let directory = TempDir::new().unwrap();
    let mut host = FileHost::start(directory.path());
    assert!(host.store(&(longest_key() + "k"), b"value").is_err());
}
