//! Dispatch of the bench's events to the instances of the decision module that they affect.

use crate::error::AdapterError;
use crate::instance::Instance;
use crate::wire::{Batch, Event, ListMode, Node, NodeList, Reply, parse_event};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// All instances of the decision module, by the bench's number for each.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    /// Directories, numbered lists of nodes, received so far, by number; a later event makes an instance apply one.
    directories: HashMap<u64, Vec<Node>>,
}

impl Adapter {
    /// Applies the events of a batch, and polls the instances that they affect for their decisions.
    pub fn apply(&mut self, batch: &Batch) -> Result<Reply, AdapterError> {
        let now = Nanos::from_millis(batch.now_ms);
        let mut affected = BTreeSet::new();
        for (name, raw) in batch.events.iter().flatten() {
            if let Some(event) = parse_event(name, raw)? {
                affected.extend(self.apply_event(now, event)?);
            }
        }
        let mut actions = Vec::new();
        for number in affected {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.poll_actions(now, &mut actions);
            }
        }
        Ok(Reply { actions })
    }

    /// Applies an event and returns the number of the instance that it affects, if any. Events for an unknown instance
    /// are ignored.
    fn apply_event(&mut self, now: Nanos, event: Event) -> Result<Option<u64>, AdapterError> {
        let affected = match event {
            Event::Directory(directory) => {
                self.directories.insert(directory.number, directory.nodes);
                return Ok(None);
            }
            Event::InstanceStarted(start) => {
                let number = start.instance;
                self.instances.insert(number, Instance::new(now, *start)?);
                number
            }
            Event::InstanceStopped(stop) => {
                self.instances.remove(&stop.instance);
                stop.instance
            }
            Event::NodeList(list) => {
                self.apply_node_list(now, &list)?;
                list.instance
            }
            Event::QueryOrPart(arrival) => {
                let number = arrival.instance;
                self.with_instance(number, |instance| instance.query_or_part_arrived(now, arrival));
                number
            }
            Event::AttemptEnded(ended) => {
                if let Some(instance) = self.instances.get_mut(&ended.instance) {
                    instance.attempt_ended(now, &ended)?;
                }
                ended.instance
            }
            Event::LoadReported(report) => {
                self.with_instance(report.instance, |instance| instance.load_reported(&report));
                report.instance
            }
            Event::ClientTimedOut(query) => {
                self.with_instance(query.instance, |instance| instance.client_timed_out(&query.query_name));
                query.instance
            }
            Event::Datagram(datagram) => {
                self.with_instance(datagram.instance, |instance| instance.datagram_received(now, &datagram));
                datagram.instance
            }
            Event::Wake(wake) => wake.instance,
        };
        Ok(Some(affected))
    }

    fn with_instance(&mut self, number: u64, apply: impl FnOnce(&mut Instance)) {
        if let Some(instance) = self.instances.get_mut(&number) {
            apply(instance);
        }
    }

    fn apply_node_list(&mut self, now: Nanos, list: &NodeList) -> Result<(), AdapterError> {
        let Some(instance) = self.instances.get_mut(&list.instance) else { return Ok(()) };
        let directory = list.directory.and_then(|number| self.directories.get(&number));
        match (list.mode, directory) {
            (ListMode::Lost, _) => instance.apply_node_list(now, list.mode, &[]),
            (_, Some(nodes)) => instance.apply_node_list(now, list.mode, nodes),
            (_, None) => return Err(AdapterError::UnknownDirectory),
        }
        Ok(())
    }
}
