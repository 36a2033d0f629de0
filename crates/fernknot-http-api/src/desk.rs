//! The one handler: finds the pair that a request belongs to and has it served.

use crate::call::{Asked, Call, Reply};
use fernknot_protocol::http::Request;

/// Serves one pair. `S` names the caller who waits, for answers that come later.
pub trait Serve<C: Call, S> {
    /// The answer, or none where it comes later.
    fn serve(&mut self, call: C, slot: S) -> Option<C::Answer>;
}

/// What became of a request.
#[derive(Debug)]
pub enum Served {
    Now(Reply),
    /// The answer comes by the slot that the request was handed in with.
    Later,
}

type Take<H, S> = fn(&mut H, Asked<'_>, S) -> Served;

struct Pair<H, S> {
    method: &'static str,
    path: &'static str,
    take: Take<H, S>,
}

/// All pairs that `H` serves.
pub struct Desk<H, S> {
    pairs: Vec<Pair<H, S>>,
}

impl<H, S> Default for Desk<H, S> {
    fn default() -> Desk<H, S> {
        Desk { pairs: Vec::new() }
    }
}

fn take<C: Call, H: Serve<C, S>, S>(host: &mut H, asked: Asked<'_>, slot: S) -> Served {
    match C::read(asked).map(|call| host.serve(call, slot)) {
        Ok(Some(answer)) => Served::Now(answer.into()),
        Ok(None) => Served::Later,
        Err(refusal) => Served::Now(refusal),
    }
}

/// The segment that stands for `*`, if the path is one of the pattern.
fn matched<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = pattern.split_once('*') else { return (pattern == path).then_some("") };
    let segment = path.strip_prefix(before)?.strip_suffix(after)?;
    (!segment.is_empty() && !segment.contains('/')).then_some(segment)
}

impl<H, S> Desk<H, S> {
    /// Serves this pair too.
    pub fn on<C: Call>(mut self) -> Desk<H, S>
    where
        H: Serve<C, S>,
    {
        self.pairs.push(Pair { method: C::METHOD, path: C::PATH, take: take::<C, H, S> });
        self
    }

    /// Reads a request and has it served; 404 and 405 where there is no pair for it.
    pub fn serve(&self, host: &mut H, request: &Request, slot: S) -> Served {
        let path = request.path();
        let mut known = false;
        for pair in &self.pairs {
            let Some(segment) = matched(pair.path, path) else { continue };
            known = true;
            if pair.method == request.method {
                return (pair.take)(host, Asked { request, segment }, slot);
            }
        }
        Served::Now(match known {
            true => Reply::refused(405, "this path has no such method"),
            false => Reply::refused(404, "no such path"),
        })
    }
}
