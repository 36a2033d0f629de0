//! Tables between the names of the wire, the bench's messages, and an instance's ids of nodes, queries and parts.

use fernknot::interface::{MultigetId, NodeId, PartId};
use std::collections::HashMap;

/// Names of nodes, which are numbered in the order in which they become known.
#[derive(Default)]
pub struct NodeNames {
    names: Vec<String>,
    ids: HashMap<String, NodeId>,
}

impl NodeNames {
    /// Returns the id of a node; `None` if the name is unknown.
    pub fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Adds a node whose name is unknown, and returns its new id.
    pub fn add(&mut self, name: &str) -> NodeId {
        let id = NodeId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Returns the name of a node; panics if the id is unknown.
    pub fn name(&self, id: NodeId) -> &str {
        &self.names[id.0 as usize]
    }
}

/// Query or part that a name refers to.
#[derive(Clone, Copy)]
enum Named {
    Query(MultigetId),
    Part(PartId),
}

/// Names of one query and its parts.
struct QueryEntry {
    name: String,
    part_names: Vec<String>,
    attempts_in_flight: usize,
    /// Whether the query has its final answer, or its client has timed out.
    is_over: bool,
}

/// Names of queries and their parts. They are kept while later events may refer to them: until the query is over and no
/// attempt of it is in flight.
#[derive(Default)]
pub struct QueryNames {
    by_name: HashMap<String, Named>,
    queries: HashMap<MultigetId, QueryEntry>,
}

impl QueryNames {
    /// Adds a query.
    pub fn add_query(&mut self, query: MultigetId, name: String) {
        self.by_name.insert(name.clone(), Named::Query(query));
        let entry = QueryEntry { name, part_names: Vec::new(), attempts_in_flight: 0, is_over: false };
        self.queries.insert(query, entry);
    }

    /// Adds a part of a query and returns its new id; `None` if the query is unknown.
    pub fn add_part(&mut self, query: MultigetId, name: String) -> Option<PartId> {
        let entry = self.queries.get_mut(&query)?;
        let part = PartId { multiget: query, index: entry.part_names.len() };
        entry.part_names.push(name.clone());
        self.by_name.insert(name, Named::Part(part));
        Some(part)
    }

    /// Returns the query of this name; `None` if the name is unknown or that of a part.
    pub fn query(&self, name: &str) -> Option<MultigetId> {
        match self.by_name.get(name) {
            Some(Named::Query(query)) => Some(*query),
            _ => None,
        }
    }

    /// Returns the part of this name; `None` if the name is unknown or that of a query.
    pub fn part(&self, name: &str) -> Option<PartId> {
        match self.by_name.get(name) {
            Some(Named::Part(part)) => Some(*part),
            _ => None,
        }
    }

    /// Returns the name of a query; `None` if it is unknown.
    pub fn query_name(&self, query: MultigetId) -> Option<String> {
        self.queries.get(&query).map(|entry| entry.name.clone())
    }

    /// Returns the name of a part; `None` if its query is unknown.
    pub fn part_name(&self, part: PartId) -> Option<String> {
        self.queries.get(&part.multiget).map(|entry| entry.part_names[part.index].clone())
    }

    /// Counts an attempt of a part of this query as in flight.
    pub fn attempt_started(&mut self, query: MultigetId) {
        if let Some(entry) = self.queries.get_mut(&query) {
            entry.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt of a part of this query as ended, and removes the query's names if nothing can refer to them
    /// any more.
    pub fn attempt_ended(&mut self, query: MultigetId) {
        if let Some(entry) = self.queries.get_mut(&query) {
            entry.attempts_in_flight = entry.attempts_in_flight.saturating_sub(1);
        }
        self.remove_if_done(query);
    }

    /// Marks a query as over: it has its final answer, or its client has timed out. Removes its names if nothing can
    /// refer to them any more.
    pub fn mark_over(&mut self, query: MultigetId) {
        if let Some(entry) = self.queries.get_mut(&query) {
            entry.is_over = true;
        }
        self.remove_if_done(query);
    }

    fn remove_if_done(&mut self, query: MultigetId) {
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
