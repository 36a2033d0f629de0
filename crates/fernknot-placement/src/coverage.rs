//! Whether the parts of a query cover the keys asked for, each exactly once.

use crate::key_range::KeyRange;

/// What parts cover of the keys asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Every key, each exactly once.
    Exact,
    /// The first keys that no part has.
    Missing(KeyRange),
    /// The first keys that two parts have, or that were not asked for.
    Excess(KeyRange),
}

/// Whether `parts` cover the keys asked for exactly once. The ranges in `asked` must not overlap.
pub fn check_coverage(asked: &[KeyRange], parts: &[KeyRange]) -> Coverage {
    let (mut asked, mut parts) = (asked.to_vec(), parts.to_vec());
    asked.sort();
    parts.sort();
    let mut parts = parts.into_iter().peekable();
    for range in asked {
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
