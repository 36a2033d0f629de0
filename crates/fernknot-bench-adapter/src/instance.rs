//! Instance of the decision module, which decides for one simulated router, with the names that the bench's messages
//! (the wire) use for its nodes, queries and parts.

use crate::error::AdapterError;
use crate::hex;
use crate::names::{NodeNames, QueryNames};
use crate::wire::{
    Action, AttemptEnded, Datagram, InstanceStarted, ListMode, LoadReported, Node, NodeHealth, QueryOrPart,
};
use fernknot::decide::Router;
use fernknot::interface::{
    Arrival, AttemptEnd, AttemptNumber, CustomerId, Decision, Health, ListKind, LoadReport, MultigetId,
    Nanos, NodeEntry, NodeId, Outcome, PartArrival, PeerId, PlaceId, ShardId, Update, UseCaseId, ZoneId,
};
use fernknot_protocol::peer_updates::NodeTags;
use std::collections::BTreeMap;

/// Maximum size of a datagram on the wire, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Label of the only timer that an instance sets.
const TIMER_LABEL: u64 = 0;

/// Instance of the decision module, with the tables that translate its ids into names of the wire.
pub struct Instance {
    number: u64,
    router: Router,
    nodes: NodeNames,
    /// Short forms of the nodes' names, used in datagrams.
    tags: NodeTags,
    queries: QueryNames,
}

impl Instance {
    /// Starts an instance.
    pub fn new(now: Nanos, start: InstanceStarted) -> Result<Instance, AdapterError> {
        let settings = start.settings.decision_settings().map_err(AdapterError::Settings)?;
        Ok(Instance {
            number: start.instance,
            router: Router::new(start.seed, settings, now),
            nodes: NodeNames::default(),
            tags: NodeTags::default(),
            queries: QueryNames::default(),
        })
    }

    // ---- Events ----------------------------------------------------------------------------

    /// Applies a list of nodes, or, with [`ListMode::Lost`], the loss of the source of lists, after which the instance
    /// requests a list again if its settings make it request changes.
    pub fn apply_node_list(&mut self, now: Nanos, mode: ListMode, nodes: &[Node]) {
        let kind = match mode {
            ListMode::Lost => return self.router.list_failed(now),
            ListMode::Changes => ListKind::Changes,
            ListMode::Full | ListMode::FullFromPeer => ListKind::Full,
        };
        let entries: Vec<NodeEntry> = nodes.iter().map(|node| self.node_entry(node)).collect();
        self.router.apply_list(kind, &entries);
    }

    fn node_entry(&mut self, node: &Node) -> NodeEntry {
        let health = match node.health {
            NodeHealth::Running => Health::Running,
            NodeHealth::Draining => Health::Draining,
            NodeHealth::Deleted => Health::Gone,
        };
        NodeEntry {
            node: self.node_id(&node.name),
            place: PlaceId(node.place),
            zone: node.zone.map(ZoneId),
            health,
            started_at: Nanos::from_millis(node.since_ms),
        }
    }

    fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.nodes.id(name) {
            return id;
        }
        let id = self.nodes.add(name);
        self.tags.add(name, id);
        id
    }

    /// Applies the arrival of a query or of a part of one.
    pub fn query_or_part_arrived(&mut self, now: Nanos, arrival: QueryOrPart) {
        if arrival.is_query() {
            self.query_arrived(now, arrival);
        } else {
            self.part_arrived(now, arrival);
        }
    }

    fn query_arrived(&mut self, now: Nanos, query: QueryOrPart) {
        let multiget = MultigetId(query.query_number);
        let arrival = Arrival {
            multiget,
            use_case: UseCaseId(query.use_case),
            customer: CustomerId(query.customer),
            client_deadline: Nanos::from_millis(query.client_deadline_ms),
            is_retry: query.is_retry,
            effort: query.effort_ms.map(Nanos::from_millis),
            second_phase: None,
        };
        self.router.multiget_arrived(now, &arrival);
        self.queries.add_query(multiget, query.name);
    }

    fn part_arrived(&mut self, now: Nanos, part: QueryOrPart) {
        let multiget = MultigetId(part.query_number);
        let Some(id) = self.queries.add_part(multiget, part.name) else { return };
        let arrival = PartArrival {
            part: id,
            shard: ShardId(part.shard as u32),
            weight: part.weight,
            effort: part.effort_ms.map(Nanos::from_millis),
        };
        self.router.part_arrived(now, &arrival);
    }

    /// Applies the end of an attempt. Ignores it if the part or the node is unknown.
    pub fn attempt_ended(&mut self, now: Nanos, ended: &AttemptEnded) -> Result<(), AdapterError> {
        let outcome = outcome(ended.status)?;
        let Some(part) = self.queries.part(&ended.part_name) else { return Ok(()) };
        let Some(node) = self.nodes.id(&ended.node) else { return Ok(()) };
        let ending = AttemptEnd {
            part,
            number: AttemptNumber(ended.attempt),
            node,
            outcome,
            duration: Nanos::from_millis(ended.took_ms),
            report: load_report(&ended.load),
        };
        self.router.attempt_ended(now, &ending);
        self.queries.attempt_ended(part.multiget);
        Ok(())
    }

    /// Applies a node's load report that did not come with the end of an attempt.
    pub fn load_reported(&mut self, report: &LoadReported) {
        if let Some(node) = self.nodes.id(&report.node) {
            self.router.load_reported(node, load_report(&report.load));
        }
    }

    /// Applies a datagram from another router. Ignores it if it cannot be parsed.
    pub fn datagram_received(&mut self, now: Nanos, datagram: &Datagram) {
        if let Some(updates) = self.tags.read(&hex::decode(&datagram.bytes_hex)) {
            self.router.apply_updates(now, PeerId(datagram.sender), &updates);
        }
    }

    /// Applies the time-out of a query's client. Ignores it if the query is unknown.
    pub fn client_timed_out(&mut self, query_name: &str) {
        if let Some(multiget) = self.queries.query(query_name) {
            self.router.client_gone(multiget);
            self.queries.mark_over(multiget);
        }
    }

    // ---- Decisions -------------------------------------------------------------------------

    /// Appends the actions for all decisions that are due.
    pub fn poll_actions(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while let Some(decision) = self.router.poll_decision(now) {
            self.carry_out(decision, actions);
        }
    }

    /// Translates a decision into actions of the wire, and appends these. A decision on an unknown query has none.
    fn carry_out(&mut self, decision: Decision, actions: &mut Vec<Action>) {
        let instance = self.number;
        match decision {
            Decision::SendAttempt { part, node, stop_at } => {
                let Some(part_name) = self.queries.part_name(part) else { return };
                self.queries.attempt_started(part.multiget);
                let (node, stop_at_ms) = (self.nodes.name(node).to_string(), stop_at.as_millis());
                actions.push(Action::SendPart { instance, part_name, node, stop_at_ms });
            }
            Decision::CancelAttempt { part, number } => {
                let Some(part_name) = self.queries.part_name(part) else { return };
                actions.push(Action::CancelAttempt { instance, part_name, attempt: number.0 });
            }
            Decision::Complete { multiget, is_complete, is_final: last } => {
                let Some(query_name) = self.queries.query_name(multiget) else { return };
                actions.push(Action::CompleteQuery { instance, query_name, is_complete });
                if last {
                    self.queries.mark_over(multiget);
                }
            }
            Decision::Reject { multiget, retry_after } => {
                let Some(query_name) = self.queries.query_name(multiget) else { return };
                let retry_after_ms = retry_after.as_millis();
                actions.push(Action::RejectQuery { instance, query_name, retry_after_ms });
                self.queries.mark_over(multiget);
            }
            Decision::Abort { multiget } => {
                let Some(query_name) = self.queries.query_name(multiget) else { return };
                actions.push(Action::FailQuery { instance, query_name });
                self.queries.mark_over(multiget);
            }
            Decision::RequestList => actions.push(Action::SubscribeToNodeList { instance, full: true }),
            // In the bench, connections fail only together with their nodes, so there is nothing to renew.
            Decision::RenewConnections { .. } => {}
            Decision::NotifyPeers { updates } => self.publish(&updates, actions),
            Decision::Wake { after } => {
                let after_ms = after.as_millis();
                actions.push(Action::SetTimer { instance, after_ms, label: TIMER_LABEL });
            }
        }
    }

    fn publish(&self, updates: &[(NodeId, Update)], actions: &mut Vec<Action>) {
        for datagram in self.tags.write(updates, MAX_DATAGRAM_BYTES) {
            let bytes_hex = hex::encode(&datagram);
            actions.push(Action::PublishDatagram { instance: self.number, bytes_hex });
        }
    }
}

/// Returns the outcome for a status of the wire, which resembles the status codes of HTTP.
fn outcome(status: u32) -> Result<Outcome, AdapterError> {
    Ok(match status {
        200 => Outcome::Answered,
        502 => Outcome::Error,
        429 => Outcome::Rejected,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::Invalid,
        444 => Outcome::Cancelled,
        409 => Outcome::NeverSent,
        other => return Err(AdapterError::UnknownStatus(other)),
    })
}

fn load_report(load: &BTreeMap<String, f64>) -> LoadReport {
    fernknot_protocol::report::from_fields(load.iter().map(|(name, value)| (name.as_str(), *value)))
}
