//! Recorded encodings: checks values, in both directions, against a file of named hex lines.
//!
//! Packages include this file by path. A recorded file holds what an earlier release wrote to its disk or sent
//! to another process. Never change it to make a test pass: a difference means that processes of both releases
//! cannot run side by side, or that a disk of the earlier one cannot be read.

use bitcode::{DecodeOwned, Encode};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;

/// First character of a comment line in a recorded file.
const COMMENT: char = '#';

/// Recorded encodings of one file that have not been checked yet, by name.
pub struct Fixtures {
    file: &'static str,
    unchecked: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    /// Reads a file below `tests/fixtures` of the package that is tested.
    pub fn open(file: &'static str) -> Fixtures {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
        let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("read {file}: {error}"));
        let lines = text.lines().filter(|line| !line.is_empty() && !line.starts_with(COMMENT));
        let mut unchecked = BTreeMap::new();
        for line in lines {
            let (name, hex) = line.split_once(' ').unwrap_or_else(|| panic!("{file}: no value in {line:?}"));
            let earlier = unchecked.insert(name.to_string(), bytes_of_hex(hex));
            assert!(earlier.is_none(), "{file}: {name} is recorded twice");
        }
        Fixtures { file, unchecked }
    }

    /// Fails unless the value is encoded to exactly the recorded bytes, and they are decoded to the value.
    pub fn check<T: Encode + DecodeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let recorded = self.take(name);
        assert_eq!(hex_of_bytes(&bitcode::encode(value)), hex_of_bytes(&recorded), "encode {name}");
        let decoded: T = bitcode::decode(&recorded).unwrap_or_else(|error| panic!("decode {name}: {error}"));
        assert_eq!(decoded, *value, "decode {name}");
    }

    /// Returns the recorded bytes of a name, and marks them as checked.
    pub fn take(&mut self, name: &str) -> Vec<u8> {
        self.unchecked.remove(name).unwrap_or_else(|| panic!("{}: {name} is not recorded", self.file))
    }

    /// Fails unless all recorded encodings have been checked.
    pub fn finish(self) {
        let names: Vec<&String> = self.unchecked.keys().collect();
        assert!(names.is_empty(), "{}: recorded and not checked: {names:?}", self.file);
    }
}

fn bytes_of_hex(hex: &str) -> Vec<u8> {
    let digit_pairs = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    digit_pairs.map(|pair| u8::from_str_radix(pair, 16).expect("two hex digits")).collect()
}

fn hex_of_bytes(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
