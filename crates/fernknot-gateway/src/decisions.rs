//! The engine that decides on attempts, which starts with the first configuration.

use crate::nodes::AttemptKey;
use crate::routing::UseCaseChange;
use fernknot::interface::*;
use fernknot_engine::{Action, Engine, RequesterId};
use fernknot_protocol::multiget::MultigetRequest;

/// The engine, once there is one. Before that, nothing is in flight and nothing is due.
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

    /// A further configuration is in force.
    pub(crate) fn apply_use_cases(&mut self, now: Nanos, change: &UseCaseChange) {
        let Some(engine) = &mut self.engine else { return };
        for use_case in &change.released {
            engine.remove_use_case(*use_case);
        }
        for (id, use_case) in &change.use_cases {
            engine.set_use_case(now, *id, use_case);
        }
    }

    /// This gateway's free retries, and by how many gateways the budget is shared, where that is known.
    pub(crate) fn set_budget(&mut self, now: Nanos, slack: f64, sharers: Option<u32>) {
        let Some(engine) = &mut self.engine else { return };
        engine.set_free_retries(slack);
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

    /// Takes a request; `None` while there is no engine.
    pub(crate) fn start_request(
        &mut self,
        now: Nanos,
        id: RequesterId,
        deadline: Nanos,
        multiget: MultigetRequest,
    ) -> Option<MultigetId> {
        self.engine.as_mut().map(|engine| engine.submit(now, id, deadline, multiget))
    }

    /// The client of a request has gone.
    pub(crate) fn cancel_request(&mut self, now: Nanos, multiget: MultigetId) {
        if let Some(engine) = &mut self.engine {
            engine.client_gone(now, multiget);
        }
    }

    /// A node has answered an attempt.
    pub(crate) fn attempt_answered(&mut self, now: Nanos, attempt: AttemptKey) {
        if let Some(engine) = &mut self.engine {
            engine.attempt_answered(now, attempt.part, attempt.number, String::new(), LoadReport::default());
        }
    }

    /// An attempt has ended without an answer.
    pub(crate) fn attempt_ended(&mut self, now: Nanos, attempt: AttemptKey, outcome: Outcome) {
        if let Some(engine) = &mut self.engine {
            engine.attempt_ended(now, attempt.part, attempt.number, outcome, LoadReport::default());
        }
    }

    /// When actions will be due without an event.
    pub(crate) fn next_wakeup(&self) -> Option<Nanos> {
        self.engine.as_ref().and_then(Engine::next_due)
    }

    /// Whether there may be actions to be polled.
    pub(crate) fn is_due(&self, now: Nanos) -> bool {
        let Some(engine) = &self.engine else { return false };
        engine.next_due().is_some_and(|at| at <= now) || engine.has_input()
    }

    /// The next action, until there is none.
    pub(crate) fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        self.engine.as_mut().and_then(|engine| engine.poll_action(now))
    }

    /// The engine's counters: one a line, name and value.
    pub(crate) fn counters_text(&self) -> String {
        self.engine.as_ref().map(|engine| engine.counters.text()).unwrap_or_default()
    }
}
