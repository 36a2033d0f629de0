//! Dispatch of requests to the handlers of their endpoints.

use crate::endpoint::{Endpoint, MatchedRequest};
use crate::reply::Reply;
use fernknot_protocol::http::Request;

/// Handler of the calls of one endpoint `C`. `S` is the server's own type of identifier for a call that is answered
/// later.
pub trait Handler<C: Endpoint, S> {
    /// Returns the answer, or `None` if it is sent later; the server then keeps `pending_call` to identify the call
    /// by.
    fn handle(&mut self, call: C, pending_call: S) -> Option<C::Answer>;
}

/// Outcome of dispatching a request.
#[derive(Debug)]
pub enum DispatchOutcome {
    /// Reply that can be sent now: the handler's answer, or the rejection of an invalid request.
    Ready(Reply),
    /// No reply yet; it is sent later, to the call identified by the `pending_call` argument of the dispatch.
    Pending,
}

type HandleFn<H, S> = fn(&mut H, MatchedRequest<'_>, S) -> DispatchOutcome;

struct Route<H, S> {
    method: &'static str,
    path: &'static str,
    handle: HandleFn<H, S>,
}

/// Endpoints that the server `H` handles, in the order in which they were added.
pub struct Dispatcher<H, S> {
    routes: Vec<Route<H, S>>,
}

impl<H, S> Default for Dispatcher<H, S> {
    fn default() -> Dispatcher<H, S> {
        Dispatcher { routes: Vec::new() }
    }
}

impl<H, S> Dispatcher<H, S> {
    /// Adds an endpoint. If several match a request, the one added first handles it.
    pub fn with_endpoint<C: Endpoint>(mut self) -> Dispatcher<H, S>
    where
        H: Handler<C, S>,
    {
        self.routes.push(Route { method: C::METHOD, path: C::PATH, handle: parse_and_handle::<C, H, S> });
        self
    }

    /// Passes a request to the handler of the matching endpoint. The reply is 404 if no endpoint has the path, and 405
    /// if no endpoint with the path has the method.
    pub fn dispatch(&self, handler: &mut H, request: &Request, pending_call: S) -> DispatchOutcome {
        let path = request.path();
        let mut path_exists = false;
        for route in &self.routes {
            let Some(segment) = match_path(route.path, path) else { continue };
            path_exists = true;
            if route.method == request.method {
                return (route.handle)(handler, MatchedRequest { request, segment }, pending_call);
            }
        }
        DispatchOutcome::Ready(match path_exists {
            true => Reply::error(405, "this path has no such method"),
            false => Reply::error(404, "no such path"),
        })
    }
}

fn parse_and_handle<C: Endpoint, H: Handler<C, S>, S>(
    handler: &mut H,
    matched: MatchedRequest<'_>,
    pending_call: S,
) -> DispatchOutcome {
    match C::parse(matched).map(|call| handler.handle(call, pending_call)) {
        Ok(Some(answer)) => DispatchOutcome::Ready(answer.into()),
        Ok(None) => DispatchOutcome::Pending,
        Err(rejection) => DispatchOutcome::Ready(rejection),
    }
}

/// Returns the path segment matched by the pattern's `*`, or an empty one without `*`; `None` if the path does not
/// match.
fn match_path<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = pattern.split_once('*') else { return (pattern == path).then_some("") };
    let segment = path.strip_prefix(before)?.strip_suffix(after)?;
    (!segment.is_empty() && !segment.contains('/')).then_some(segment)
}
