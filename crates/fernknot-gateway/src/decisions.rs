//! The engine (`fernknot-engine`), which decides to which nodes the attempts of a request are sent and when the request
//! is complete. It starts with the first configuration.

use crate::nodes::AttemptKey;
use crate::routing::UseCaseChange;
use fernknot::interface::*;
use fernknot_engine::{Action, Engine, RequesterId};
use fernknot_protocol::multiget::MultigetRequest;

/// The engine, once it has started. Before that, no request is in flight and no action is due.
#[derive(Default)]
pub(crate) struct Decisions {
    engine: Option<Engine>,
}

impl Decisions {
    pub(crate) fn has_engine(&self) -> bool {
        self.engine.is_some()
    }

    /// Starts the engine with the first configuration.
    pub(crate) fn start_engine(&mut self, now: Nanos, site: SiteSettings, seed: u64) {
        self.engine = Some(Engine::new(seed, site, &[], 0, now));
    }

    /// Applies the changes of use cases that a further configuration causes.
    pub(crate) fn apply_use_cases(&mut self, now: Nanos, change: &UseCaseChange) {
        let Some(engine) = &mut self.engine else { return };
        for use_case in &change.released {
            engine.remove_use_case(*use_case);
        }
        for (id, use_case) in &change.use_cases {
            engine.set_use_case(now, *id, use_case);
        }
    }

    /// Sets the retries that this gateway may spend in each window whatever its number of requests, and the number of
    /// gateways that share the retry budget if it is known.
    pub(crate) fn set_budget(&mut self, now: Nanos, free_retries: f64, sharers: Option<u32>) {
        let Some(engine) = &mut self.engine else { return };
        engine.set_free_retries(free_retries);
        if let Some(sharers) = sharers {
            engine.set_sharing_routers(now, sharers as usize);
        }
    }

    pub(crate) fn set_groups(&mut self, groups: Vec<(PlaceId, u32)>) {
        let Some(engine) = &mut self.engine else { return };
        for (place, group) in groups {
            engine.set_place_group(place, group);
        }
    }

    pub(crate) fn apply_node_entries(&mut self, entries: &[NodeEntry]) {
        if let Some(engine) = &mut self.engine {
            engine.apply_node_list(ListKind::Changes, entries);
        }
    }

    /// Passes a request to the engine; returns `None` while there is no engine.
    pub(crate) fn start_request(
        &mut self,
        now: Nanos,
        id: RequesterId,
        deadline: Nanos,
        multiget: MultigetRequest,
    ) -> Option<MultigetId> {
        self.engine.as_mut().map(|engine| engine.submit(now, id, deadline, multiget))
    }

    /// Cancels a request whose client has disconnected.
    pub(crate) fn cancel_request(&mut self, now: Nanos, multiget: MultigetId) {
        if let Some(engine) = &mut self.engine {
            engine.client_gone(now, multiget);
        }
    }

    /// Reports to the engine that an attempt was written to its connection only now.
    pub(crate) fn attempt_written(&mut self, now: Nanos, attempt: AttemptKey) {
        if let Some(engine) = &mut self.engine {
            engine.attempt_written(now, attempt.part, attempt.number);
        }
    }

    /// Reports to the engine that a node has answered an attempt.
    pub(crate) fn attempt_answered(&mut self, now: Nanos, attempt: AttemptKey) {
        if let Some(engine) = &mut self.engine {
            engine.attempt_answered(now, attempt.part, attempt.number, String::new(), LoadReport::default());
        }
    }

    /// Reports to the engine that an attempt has ended without an answer.
    pub(crate) fn attempt_ended(&mut self, now: Nanos, attempt: AttemptKey, outcome: Outcome) {
        if let Some(engine) = &mut self.engine {
            engine.attempt_ended(now, attempt.part, attempt.number, outcome, LoadReport::default());
        }
    }

    /// Time at which the next action is due without an event.
    pub(crate) fn next_wakeup(&self) -> Option<Nanos> {
        self.engine.as_ref().and_then(Engine::next_due)
    }

    /// Whether the engine may have actions to execute.
    pub(crate) fn is_due(&self, now: Nanos) -> bool {
        let Some(engine) = &self.engine else { return false };
        engine.next_due().is_some_and(|at| at <= now) || engine.has_input()
    }

    /// Returns the next action; `None` if there is none.
    pub(crate) fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        self.engine.as_mut().and_then(|engine| engine.poll_action(now))
    }

    /// Returns the engine's counters: one per line, name and value.
    pub(crate) fn counters_text(&self) -> String {
        self.engine.as_ref().map(|engine| engine.counters.text()).unwrap_or_default()
    }
}
