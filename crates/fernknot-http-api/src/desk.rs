//! The one handler: finds the pair that a request belongs to and has it served.

use crate::call::{Endpoint, MatchedRequest, Reply};
use fernknot_protocol::http::Request;

/// Serves one pair. `S` names the caller who waits, for answers that come later.
pub trait Handler<C: Endpoint, S> {
    /// The answer, or none where it comes later.
    fn serve(&mut self, call: C, slot: S) -> Option<C::Answer>;
}

/// What became of a request.
#[derive(Debug)]
pub enum DispatchOutcome {
    Now(Reply),
    /// The answer comes by the slot that the request was handed in with.
    Later,
}

type HandleFn<H, S> = fn(&mut H, MatchedRequest<'_>, S) -> DispatchOutcome;

struct Route<H, S> {
    method: &'static str,
    path: &'static str,
    take: HandleFn<H, S>,
}

/// All pairs that `H` serves.
pub struct Dispatcher<H, S> {
    pairs: Vec<Route<H, S>>,
}

impl<H, S> Default for Dispatcher<H, S> {
    fn default() -> Dispatcher<H, S> {
        Dispatcher { pairs: Vec::new() }
    }
}

fn take<C: Endpoint, H: Handler<C, S>, S>(
    host: &mut H,
    asked: MatchedRequest<'_>,
    slot: S,
) -> DispatchOutcome {
    match C::read(asked).map(|call| host.serve(call, slot)) {
        Ok(Some(answer)) => DispatchOutcome::Now(answer.into()),
        Ok(None) => DispatchOutcome::Later,
        Err(refusal) => DispatchOutcome::Now(refusal),
    }
}

/// The segment that stands for `*`, if the path is one of the pattern.
fn matched<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = pattern.split_once('*') else { return (pattern == path).then_some("") };
    let segment = path.strip_prefix(before)?.strip_suffix(after)?;
    (!segment.is_empty() && !segment.contains('/')).then_some(segment)
}

impl<H, S> Dispatcher<H, S> {
    /// Serves this pair too.
    pub fn on<C: Endpoint>(mut self) -> Dispatcher<H, S>
    where
        H: Handler<C, S>,
    {
        self.pairs.push(Route { method: C::METHOD, path: C::PATH, take: take::<C, H, S> });
        self
    }

    /// Reads a request and has it served; 404 and 405 where there is no pair for it.
    pub fn serve(&self, host: &mut H, request: &Request, slot: S) -> DispatchOutcome {
        let path = request.path();
        let mut known = false;
        for pair in &self.pairs {
            let Some(segment) = matched(pair.path, path) else { continue };
            known = true;
            if pair.method == request.method {
                return (pair.take)(host, MatchedRequest { request, segment }, slot);
            }
        }
        DispatchOutcome::Now(match known {
            true => Reply::refused(405, "this path has no such method"),
            false => Reply::refused(404, "no such path"),
        })
    }
}
