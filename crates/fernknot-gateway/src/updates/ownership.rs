//! The live gateways by the newest assignment, and the number of gateways that share the retry budget. An assignment is
//! the list of live gateways that the leader of the controllers makes; its fencing token grows with each new one.

use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, OwnedKeys, OwnedKeysSettings};
use std::fmt::Write;

/// Newest assignment, and this gateway's right to a share of the retry budget by it.
pub(super) struct Ownership {
    assignment: Assignment,
    /// Decides whether this gateway may use a share of the retry budget, and among how many gateways it is divided.
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

    /// Applies an assignment that has a newer fencing token.
    pub(super) fn apply(&mut self, now: Nanos, assignment: Assignment) {
        self.assignment = assignment.sorted();
        self.owned_keys.apply(now, self.assignment.clone());
    }

    /// Records that a heartbeat with a lease has named this fencing token as the newest.
    pub(super) fn confirm(&mut self, now: Nanos, token: FencingToken) {
        self.owned_keys.confirm(now, token);
    }

    /// Number of gateways that share the retry budget; `None` while this one may use no share.
    pub(super) fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        self.owned_keys.budget_sharers(now)
    }

    /// Gives up this gateway's share of the retry budget.
    pub(super) fn begin_shutdown(&mut self) {
        self.owned_keys.begin_shutdown();
    }

    /// Returns the assignment as text for operators.
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
