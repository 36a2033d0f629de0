//! The on-disk format is the one of an earlier release: its directory can be read, and the same writes produce the same
//! bytes.
//!
//! `fixtures/store` was written by the build of commit 25f41f5. Do not record it anew to make a test pass: a difference
//! means that this release and that one cannot read each other's directories.

mod common;

use common::{FileHost, copy_directory};
use fernknot_storage::{MAX_KEY_BYTES, StorageError};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Length of the longest key in the recorded directory.
const RECORDED_KEY_BYTES: usize = 256;
/// Files of a generation whose contents do not depend on its time of creation: the journal, the seal and the version of
/// the store.
const REPRODUCIBLE_FILES: [&str; 3] = ["1/0.jnl", "1/sealed", "1/version"];

fn recorded_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store")
}

fn longest_key() -> String {
    "k".repeat(RECORDED_KEY_BYTES)
}

/// Repeats the writes that produced the recorded directory.
fn repeat_recorded_writes(host: &mut FileHost) -> Result<(), StorageError> {
    host.store("plan", b"first value of the plan")?;
    host.store("vote", b"value of the vote")?;
    host.store(&longest_key(), b"value under the longest key")?;
    host.store("plan", b"second value of the plan")
}

#[test]
fn given_a_recorded_directory_when_opened_then_its_values_are_read_and_more_can_be_stored() {
    let directory = TempDir::new().unwrap();
    copy_directory(&recorded_directory(), directory.path());
    let mut host = FileHost::start(directory.path());
    assert!(host.manager.is_healthy(), "{:?}", host.manager.fault());
    assert_eq!(host.manager.stored().map(|values| values.len()), Some(3));
    assert_eq!(host.value("plan"), Some(&b"second value of the plan"[..]));
    assert_eq!(host.value("vote"), Some(&b"value of the vote"[..]));
    assert_eq!(host.value(&longest_key()), Some(&b"value under the longest key"[..]));
    assert_eq!(host.store("plan", b"third value of the plan"), Ok(()));
}

#[test]
fn given_the_recorded_writes_when_repeated_then_the_files_have_the_recorded_bytes() {
    let directory = TempDir::new().unwrap();
    repeat_recorded_writes(&mut FileHost::start(directory.path())).unwrap();
    for file in REPRODUCIBLE_FILES {
        let written = fs::read(directory.path().join(file)).unwrap();
        assert_eq!(written, fs::read(recorded_directory().join(file)).unwrap(), "{file}");
    }
}

#[test]
fn given_a_key_one_byte_longer_than_the_maximum_when_stored_then_it_is_rejected() {
    assert_eq!(MAX_KEY_BYTES, RECORDED_KEY_BYTES);
    let directory = TempDir::new().unwrap();
    let mut host = FileHost::start(directory.path());
    assert!(host.store(&(longest_key() + "k"), b"value").is_err());
}
