//! Snapshots decode to the encoded map or are rejected, and later reports override them.

mod common;

use common::{any_change, by_key, change, config, map_of};
use fernknot::interface::Nanos;
use fernknot_placement::snapshot::{self, SnapshotError};
use fernknot_placement::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(config(500))]

    /// A snapshot must decode to the encoded map, and be rejected if it is truncated or corrupted anywhere.
    #[test]
    fn a_snapshot_round_trips_or_is_rejected(
        changes in prop::collection::vec(any_change(), 0..20),
        cut_length in any::<prop::sample::Index>(),
        bit_flip in any::<(prop::sample::Index, u8)>(),
    ) {
        let map = map_of(&changes);
        let bytes = snapshot::encode(&map);
        prop_assert_eq!(by_key(&snapshot::decode(&bytes, Nanos(2)).unwrap()), by_key(&map));
        let cut_length = cut_length.index(bytes.len());
        let result = snapshot::decode(&bytes[..cut_length], Nanos(2));
        let is_truncated = matches!(result, Err(SnapshotError::Truncated { .. }));
        prop_assert!(is_truncated, "{:?} for the first {} bytes", result.err(), cut_length);
        let mut corrupt = bytes.clone();
        let at = bit_flip.0.index(corrupt.len());
        corrupt[at] ^= bit_flip.1.max(1);
        prop_assert!(snapshot::decode(&corrupt, Nanos(2)).is_err());
    }
}

#[test]
fn snapshots_of_a_newer_version_or_with_trailing_bytes_are_rejected() {
    let mut map = PlacementMap::default();
    map.apply(Nanos(1), &change(0, 9, 3, &[1]), Source::Owner);
    let bytes = snapshot::encode(&map);
    let mut newer = bytes.clone();
    newer[8] = 2;
    assert_eq!(
        snapshot::decode(&newer, Nanos(2)).unwrap_err().to_string(),
        "snapshot format version 2 is newer than the supported version 1"
    );
    let longer = [&bytes[..], b"x"].concat();
    assert_eq!(snapshot::decode(&longer, Nanos(2)).unwrap_err(), SnapshotError::ChecksumMismatch);
    let other = b"{\"not\":\"one\"}";
    assert_eq!(snapshot::decode(other, Nanos(2)).unwrap_err(), SnapshotError::NotASnapshot);
}

#[test]
fn lists_and_owners_override_a_snapshot_of_the_same_epoch() {
    let mut map = PlacementMap::default();
    map.apply(Nanos(1), &change(0, 9, 3, &[1]), Source::Owner);
    let mut map = snapshot::decode(&snapshot::encode(&map), Nanos(2)).unwrap();
    let outcome = map.apply(Nanos(3), &change(0, 9, 3, &[2]), Source::EndpointList);
    assert_eq!((outcome.changed, outcome.conflicting), (1, 1));
    let outcome = map.apply(Nanos(4), &change(0, 9, 3, &[3]), Source::Owner);
    assert_eq!((outcome.changed, outcome.conflicting), (1, 1), "the owner overrides the list");
    let outcome = map.apply(Nanos(5), &change(0, 9, 3, &[2]), Source::EndpointList);
    assert_eq!((outcome.changed, outcome.conflicting), (0, 1), "the list does not override the owner");
    let outcome = map.apply(Nanos(6), &change(0, 9, 2, &[9]), Source::Owner);
    assert_eq!((outcome.changed, outcome.stale), (0, 1), "an older epoch changes nothing");
}
