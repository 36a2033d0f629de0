//! The one handler: finds the pair that a request belongs to and has it served.

use crate::call::{Endpoint, MatchedRequest, Reply};
use fernknot_protocol::http::Request;

/// Serves one pair. `S` names the caller who waits, for answers that come later.
pub trait Handler<C: Endpoint, S> {
    /// The answer, or none where it comes later.
    fn handle(&mut self, call: C, slot: S) -> Option<C::Answer>;
}

/// What became of a request.
#[derive(Debug)]
pub enum DispatchOutcome {
    Ready(Reply),
    /// The answer comes by the slot that the request was handed in with.
    Pending,
}

type HandleFn<H, S> = fn(&mut H, MatchedRequest<'_>, S) -> DispatchOutcome;

struct Route<H, S> {
    method: &'static str,
    path: &'static str,
    handle: HandleFn<H, S>,
}

/// All pairs that `H` serves.
pub struct Dispatcher<H, S> {
    routes: Vec<Route<H, S>>,
}

impl<H, S> Default for Dispatcher<H, S> {
    fn default() -> Dispatcher<H, S> {
        Dispatcher { routes: Vec::new() }
    }
}

fn parse_and_handle<C: Endpoint, H: Handler<C, S>, S>(
    host: &mut H,
    asked: MatchedRequest<'_>,
    slot: S,
) -> DispatchOutcome {
    match C::parse(asked).map(|call| host.handle(call, slot)) {
        Ok(Some(answer)) => DispatchOutcome::Ready(answer.into()),
        Ok(None) => DispatchOutcome::Pending,
        Err(refusal) => DispatchOutcome::Ready(refusal),
    }
}

/// The segment that stands for `*`, if the path is one of the pattern.
fn match_path<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = pattern.split_once('*') else { return (pattern == path).then_some("") };
    let segment = path.strip_prefix(before)?.strip_suffix(after)?;
    (!segment.is_empty() && !segment.contains('/')).then_some(segment)
}

impl<H, S> Dispatcher<H, S> {
    /// Serves this pair too.
    pub fn with_endpoint<C: Endpoint>(mut self) -> Dispatcher<H, S>
    where
        H: Handler<C, S>,
    {
        self.routes.push(Route { method: C::METHOD, path: C::PATH, handle: parse_and_handle::<C, H, S> });
        self
    }

    /// Reads a request and has it served; 404 and 405 where there is no pair for it.
    pub fn dispatch(&self, host: &mut H, request: &Request, slot: S) -> DispatchOutcome {
        let path = request.path();
        let mut known = false;
        for pair in &self.routes {
            let Some(segment) = match_path(pair.path, path) else { continue };
            known = true;
            if pair.method == request.method {
                return (pair.handle)(host, MatchedRequest { request, segment }, slot);
            }
        }
        DispatchOutcome::Ready(match known {
            true => Reply::error(405, "this path has no such method"),
            false => Reply::error(404, "no such path"),
        })
    }
}
