//! Which gateways are live by the newest assignment, and how many share the budget for retries.

use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, OwnedKeys, OwnedKeysSettings};
use std::fmt::Write;

/// The newest assignment.
pub(super) struct Ownership {
    assignment: Assignment,
    /// Whether this gateway may take a share of the budget, and among how many.
    owned_keys: OwnedKeys,
}

impl Ownership {
    pub(super) fn new(gateway: &GatewayRecord, settings: OwnedKeysSettings) -> Ownership {
        let owned_keys = OwnedKeys::new(gateway.incarnation, Some(gateway.zone.clone()), settings);
        Ownership { assignment: Assignment::default(), owned_keys }
    }

    pub(super) fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    pub(super) fn fencing_token(&self) -> FencingToken {
        self.assignment.fencing_token
    }

    /// Whether any assignment has been received.
    pub(super) fn is_assigned(&self) -> bool {
        self.fencing_token() > FencingToken::default()
    }

    /// Takes an assignment under a newer fencing token.
    pub(super) fn apply(&mut self, now: Nanos, assignment: Assignment) {
        self.assignment = assignment.sorted();
        self.owned_keys.apply(now, self.assignment.clone());
    }

    /// A source in touch with the controllers says that this token is the newest.
    pub(super) fn confirm(&mut self, now: Nanos, token: FencingToken) {
        self.owned_keys.confirm(now, token);
    }

    /// By how many gateways the budget is shared; `None` while this one may take no share.
    pub(super) fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        self.owned_keys.budget_sharers(now)
    }

    /// This gateway takes no share of the budget any more.
    pub(super) fn begin_shutdown(&mut self) {
        self.owned_keys.begin_shutdown();
    }

    /// The assignment, for a person to read.
    pub(super) fn describe(&self) -> String {
        let token = self.fencing_token();
        let mut text = format!("assignment {}.{}\n", token.view(), token.number());
        for gateway in &self.assignment.gateways {
            let GatewayRecord { addr, zone, incarnation } = gateway;
            // Writing to a string does not fail.
            let _ = writeln!(text, "gateway {addr} {zone} {:x}", incarnation.0);
        }
        text
    }
}
