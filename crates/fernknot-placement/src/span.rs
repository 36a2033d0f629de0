//! Spans of block keys, and whether some cover others.

use serde::{Deserialize, Serialize};

/// Keys from the first to the last, both in it. A key is 64 bits; a block is the span of the keys that
/// begin with its number, `block << 32` to `block << 32 | 0xffff_ffff`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    pub first: u64,
    pub last: u64,
}

impl Span {
    /// `None` if the last key comes before the first.
    pub fn new(first: u64, last: u64) -> Option<Span> {
        (first <= last).then_some(Span { first, last })
    }

    /// All keys of a block.
    pub fn block(number: u32) -> Span {
        let first = u64::from(number) << 32;
        Span { first, last: first | u64::from(u32::MAX) }
    }

    pub fn holds(&self, key: u64) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// The keys in both.
    pub fn meet(&self, other: &Span) -> Option<Span> {
        Span::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// What share of this one's keys the other holds; the weight of a part that is split goes by it.
    pub fn share(&self, other: &Span) -> f64 {
        let size = |span: &Span| (span.last - span.first) as f64 + 1.0;
        self.meet(other).map_or(0.0, |both| size(&both) / size(self))
    }
}

/// What parts cover of what was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cover {
    /// Every key, and each just once.
    Once,
    /// The first keys that no part holds.
    Missing(Span),
    /// The first keys that two parts hold, or that nobody asked for.
    Twice(Span),
}

/// Whether the parts cover the keys asked just once. `asked` are spans that do not overlap.
pub fn cover(asked: &[Span], parts: &[Span]) -> Cover {
    let (mut asked, mut parts) = (asked.to_vec(), parts.to_vec());
    asked.sort();
    parts.sort();
    let mut parts = parts.into_iter().peekable();
    for span in asked {
        let mut next = Some(span.first);
        while let Some(first) = next {
            match parts.peek().copied() {
                Some(part) if part.first < first => {
                    return Cover::Twice(Span { first: part.first, last: part.last.min(first - 1) });
                }
                Some(part) if part.first == first && part.last <= span.last => {
                    parts.next();
                    next = (part.last < span.last).then(|| part.last + 1);
                }
                Some(part) if part.first == first => {
                    return Cover::Twice(Span { first: span.last + 1, last: part.last });
                }
                Some(part) if part.first <= span.last => {
                    return Cover::Missing(Span { first, last: part.first - 1 });
                }
                _ => return Cover::Missing(Span { first, last: span.last }),
            }
        }
    }
    parts.next().map_or(Cover::Once, Cover::Twice)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn spans(list: &[(u64, u64)]) -> Vec<Span> {
        list.iter().map(|(first, last)| Span { first: *first, last: *last }).collect()
    }

    fn span(first: u64, last: u64) -> Span {
        Span { first, last }
    }

    const ASKED: [(u64, u64); 2] = [(0, 9), (20, 29)];

    #[test_case(&[(0, 9), (20, 29)], Cover::Once; "as asked")]
    #[test_case(&[(24, 29), (0, 4), (5, 9), (20, 23)], Cover::Once; "split, in any order")]
    #[test_case(&[(0, 9)], Cover::Missing(span(20, 29)); "one left out")]
    #[test_case(&[(0, 4), (6, 9), (20, 29)], Cover::Missing(span(5, 5)); "a gap of one key")]
    #[test_case(&[(0, 5), (5, 9), (20, 29)], Cover::Twice(span(5, 5)); "one key twice")]
    #[test_case(&[(0, 9), (0, 9), (20, 29)], Cover::Twice(span(0, 9)); "a part twice")]
    #[test_case(&[(0, 12), (20, 29)], Cover::Twice(span(10, 12)); "more than asked")]
    #[test_case(&[(0, 9), (20, 29), (40, 41)], Cover::Twice(span(40, 41)); "what nobody asked")]
    #[test_case(&[], Cover::Missing(span(0, 9)); "none")]
    fn parts_cover_what_was_asked_just_once_or_it_is_said_where_not(parts: &[(u64, u64)], says: Cover) {
        assert_eq!(cover(&spans(&ASKED), &spans(parts)), says);
    }

    #[test]
    fn the_last_key_of_all_is_covered_too() {
        let asked = [span(u64::MAX - 3, u64::MAX)];
        assert_eq!(cover(&asked, &[span(u64::MAX - 3, u64::MAX)]), Cover::Once);
        assert_eq!(
            cover(&asked, &[span(u64::MAX - 3, u64::MAX - 1)]),
            Cover::Missing(span(u64::MAX, u64::MAX))
        );
    }
}
