//! All requests in flight, by the identifiers that clients' connections and the engine use for them.

use super::pending_request::PendingRequest;
use fernknot::interface::*;
use fernknot_engine::RequesterId;
use fernknot_net::ConnectionId;
use std::collections::HashMap;

/// The requests in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequesterId, PendingRequest>,
    by_multiget: HashMap<MultigetId, RequesterId>,
    next_id: u64,
}

impl RequestTable {
    /// Returns an identifier that no request has had before.
    pub(crate) fn next_id(&mut self) -> RequesterId {
        let id = RequesterId(self.next_id);
        self.next_id += 1;
        id
    }

    pub(crate) fn insert(&mut self, id: RequesterId, request: PendingRequest) {
        self.by_multiget.insert(request.multiget, id);
        self.requests.insert(id, request);
    }

    pub(crate) fn remove(&mut self, id: RequesterId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.by_multiget.remove(&request.multiget);
        Some(request)
    }

    pub(crate) fn get(&self, id: RequesterId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns the request that a part belongs to.
    pub(crate) fn of_part(&mut self, part: PartId) -> Option<&mut PendingRequest> {
        let id = self.by_multiget.get(&part.multiget)?;
        self.requests.get_mut(id)
    }

    /// Removes a connection that was started for a part and is known never to have opened.
    pub(crate) fn remove_opening_connection(&mut self, part: PartId, connection: ConnectionId) {
        if let Some(request) = self.of_part(part) {
            request.opening_connections.retain(|opening| *opening != connection);
        }
    }

    /// Returns the identifiers of all requests, sorted so that runs are reproducible.
    pub(crate) fn ids(&self) -> Vec<RequesterId> {
        let mut ids: Vec<RequesterId> = self.requests.keys().copied().collect();
        ids.sort();
        ids
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.requests.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
