//! The wire's names for what an instance has ids for.

use fernknot::interface::{MultigetId, NodeId, PartId};
use std::collections::HashMap;

/// The names of nodes, which are numbered as they are first met.
#[derive(Default)]
pub struct NodeNames {
    names: Vec<String>,
    ids: HashMap<String, NodeId>,
}

impl NodeNames {
    /// The id of a node that was met before.
    pub fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Numbers a node that was not met before.
    pub fn add(&mut self, name: &str) -> NodeId {
        let id = NodeId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// The name of a node that was met before.
    pub fn name(&self, id: NodeId) -> &str {
        &self.names[id.0 as usize]
    }
}

/// What a name stands for.
#[derive(Clone, Copy)]
enum Named {
    Query(MultigetId),
    Part(PartId),
}

/// The names of one query and its parts.
struct QueryEntry {
    name: String,
    part_names: Vec<String>,
    attempts_in_flight: usize,
    /// It has had its final answer, or its client's time-out.
    is_over: bool,
}

/// The names of queries and their parts, kept while the wire may still name any of them: until the query is over and
/// no attempt of it is in flight.
#[derive(Default)]
pub struct QueryNames {
    by_name: HashMap<String, Named>,
    queries: HashMap<MultigetId, QueryEntry>,
}

impl QueryNames {
    /// Names a query.
    pub fn add_query(&mut self, query: MultigetId, name: String) {
        self.by_name.insert(name.clone(), Named::Query(query));
        let entry = QueryEntry { name, part_names: Vec::new(), attempts_in_flight: 0, is_over: false };
        self.queries.insert(query, entry);
    }

    /// Numbers a part of a query; `None` if the query is unknown.
    pub fn add_part(&mut self, query: MultigetId, name: String) -> Option<PartId> {
        let entry = self.queries.get_mut(&query)?;
        let part = PartId { multiget: query, index: entry.part_names.len() };
        entry.part_names.push(name.clone());
        self.by_name.insert(name, Named::Part(part));
        Some(part)
    }

    /// The query of this name.
    pub fn query(&self, name: &str) -> Option<MultigetId> {
        match self.by_name.get(name) {
            Some(Named::Query(query)) => Some(*query),
            _ => None,
        }
    }

    /// The part of this name.
    pub fn part(&self, name: &str) -> Option<PartId> {
        match self.by_name.get(name) {
            Some(Named::Part(part)) => Some(*part),
            _ => None,
        }
    }

    /// The name of a known query.
    pub fn query_name(&self, query: MultigetId) -> Option<String> {
        self.queries.get(&query).map(|entry| entry.name.clone())
    }

    /// The name of a part of a known query.
    pub fn part_name(&self, part: PartId) -> Option<String> {
        self.queries.get(&part.multiget).map(|entry| entry.part_names[part.index].clone())
    }

    /// An attempt of a part of this query was sent.
    pub fn attempt_started(&mut self, query: MultigetId) {
        if let Some(entry) = self.queries.get_mut(&query) {
            entry.attempts_in_flight += 1;
        }
    }

    /// An attempt of a part of this query ended.
    pub fn attempt_ended(&mut self, query: MultigetId) {
        if let Some(entry) = self.queries.get_mut(&query) {
            entry.attempts_in_flight = entry.attempts_in_flight.saturating_sub(1);
        }
        self.forget_if_done(query);
    }

    /// This query has had its final answer, or its client's time-out.
    pub fn query_over(&mut self, query: MultigetId) {
        if let Some(entry) = self.queries.get_mut(&query) {
            entry.is_over = true;
        }
        self.forget_if_done(query);
    }

    fn forget_if_done(&mut self, query: MultigetId) {
        let is_done = |entry: &QueryEntry| entry.is_over && entry.attempts_in_flight == 0;
        if !self.queries.get(&query).is_some_and(is_done) {
            return;
        }
        if let Some(entry) = self.queries.remove(&query) {
            self.by_name.remove(&entry.name);
            for part_name in entry.part_names {
                self.by_name.remove(&part_name);
            }
        }
    }
}
