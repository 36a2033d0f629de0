//! Check that the parts of a query cover the requested keys, each exactly once.

use crate::key_range::KeyRange;

/// Result of comparing the keys of a query's parts with the requested keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Every requested key is covered exactly once.
    Exact,
    /// First requested range that no part covers.
    Missing(KeyRange),
    /// First range that two parts cover or that was not requested.
    Excess(KeyRange),
}

/// Checks that `parts` cover the requested keys exactly once. The ranges in `requested` must not overlap.
pub fn check_coverage(requested: &[KeyRange], parts: &[KeyRange]) -> Coverage {
    let (mut requested, mut parts) = (requested.to_vec(), parts.to_vec());
    requested.sort();
    parts.sort();
    let mut parts = parts.into_iter().peekable();
    for range in requested {
        let mut next_key = Some(range.first);
        while let Some(first) = next_key {
            match parts.peek().copied() {
                Some(part) if part.first < first => {
                    return Coverage::Excess(KeyRange { first: part.first, last: part.last.min(first - 1) });
                }
                Some(part) if part.first == first && part.last <= range.last => {
                    parts.next();
                    next_key = (part.last < range.last).then(|| part.last + 1);
                }
                Some(part) if part.first == first => {
                    return Coverage::Excess(KeyRange { first: range.last + 1, last: part.last });
                }
                Some(part) if part.first <= range.last => {
                    return Coverage::Missing(KeyRange { first, last: part.first - 1 });
                }
                _ => return Coverage::Missing(KeyRange { first, last: range.last }),
            }
        }
    }
    parts.next().map_or(Coverage::Exact, Coverage::Excess)
}
