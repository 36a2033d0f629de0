//! Operators, which read and change the configuration.

use crate::checks::observations::ChangeRecord;
use crate::control_clients::configs::{RouteSet, raw_config};
use crate::control_clients::state::{ControlClientEvent, Purpose};
use crate::linearizability::Version;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Maximum number of concurrent changes of all operators.
const MAX_CHANGES_IN_FLIGHT: usize = 8;
/// Number of completed reads in a run after which read floods (`flood_machine`) stop.
const MAX_READS: usize = 300;
/// Mean number of an operator's operations of which one is a read, without and with changes in series.
const READ_INTERVAL: usize = 3;
const SERIES_READ_INTERVAL: usize = 10;
/// Range of an operator's pauses with changes in series.
const MIN_SERIES_PAUSE: Nanos = millis(300);
const MAX_SERIES_PAUSE: Nanos = millis(1500);
/// Time after which an operator abandons a change, if it abandons it at all.
const CHANGE_ABANDON_TIMEOUT: Nanos = millis(2000);
/// Time after which a read of a flood is abandoned.
const FLOOD_READ_TIMEOUT: Nanos = millis(1500);

impl Simulation {
    pub(super) fn operator_turn(&mut self, index: usize) {
        if self.control_clients.in_final_phase {
            return;
        }
        let operator = &mut self.control_clients.operators[index];
        let delay = match operator.in_change_storm {
            true => operator.rng.between(millis(20), millis(120)),
            false if self.settings.changes_in_series => {
                operator.rng.between(MIN_SERIES_PAUSE, MAX_SERIES_PAUSE)
            }
            false => operator.rng.between(millis(150), millis(1500)),
        };
        let read_interval =
            if self.settings.changes_in_series { SERIES_READ_INTERVAL } else { READ_INTERVAL };
        let reads = std::mem::take(&mut operator.reads_next) || operator.rng.one_in(read_interval);
        let choice = operator.rng.below(12);
        self.schedule_client(delay, ControlClientEvent::OperatorTurn(index));
        match choice {
            _ if reads => self.send_read(Some(index), None),
            0..3 => self.resend_change(choice == 0),
            3 => self.resume_changes(),
            _ => {
                let operator = &self.control_clients.operators[index];
                let base = operator.newest_epoch;
                let epoch = base + 1 + operator.rng.below(2) as u64;
                self.submit_change(index, base, epoch);
            }
        }
    }

    /// Resends an acknowledged change: the last one, or with `any` a random one.
    fn resend_change(&mut self, any: bool) {
        let acknowledged = self.changes_where(ChangeRecord::is_committed);
        let last = acknowledged.last().copied().filter(|_| !any);
        if let Some(change) = last.or_else(|| self.rng.choose(&acknowledged)) {
            self.send_change(Purpose::Resend(change));
        }
    }

    fn changes_where(&self, predicate: impl Fn(&ChangeRecord) -> bool) -> Vec<usize> {
        let changes = &self.observations.changes;
        (0..changes.len()).filter(|index| predicate(&changes[*index])).collect()
    }

    /// Resends abandoned changes that have no definitive response.
    pub(crate) fn resume_changes(&mut self) {
        let pending = self.control_clients.pending_changes();
        for change in self.changes_where(|change| change.completion.is_none()) {
            if !pending.contains(&change) {
                self.send_change(Purpose::Replace(change));
            }
        }
    }

    /// Sends a new change of this operator, which replaces the version with the epoch `base`.
    pub(crate) fn submit_change(&mut self, operator: usize, base: u64, epoch: u64) {
        let changes = self.observations.changes.len();
        let pending = self.control_clients.pending_changes().len();
        if pending >= MAX_CHANGES_IN_FLIGHT || changes >= self.settings.max_changes {
            return;
        }
        let invoked_at = self.next_sequence();
        let version = Version { epoch, body: changes as u64 };
        let sent_at = self.now;
        let change = ChangeRecord { base, version, invoked_at, sent_at, completion: None, operator };
        self.observations.changes.push(change);
        self.send_change(Purpose::Replace(changes));
        let give_up_at = self.now + CHANGE_ABANDON_TIMEOUT;
        if self.rng.one_in(12)
            && !self.control_clients.in_final_phase
            && let Some(request) = self.control_clients.last_request()
        {
            request.give_up_at = Some(give_up_at);
        }
    }

    fn route_set(&self) -> RouteSet {
        match self.settings.gateways {
            0 => RouteSet::Single,
            _ if self.settings.changes_in_series => RouteSet::Changing,
            _ => RouteSet::Traffic,
        }
    }

    fn send_change(&mut self, purpose: Purpose) {
        let (Purpose::Replace(change) | Purpose::Resend(change)) = purpose else { return };
        let ChangeRecord { base, version, .. } = self.observations.changes[change];
        let mut body = raw_config(version, self.route_set());
        // The same JSON value in another formatting, which must count as the same change.
        if matches!(purpose, Purpose::Resend(_)) && self.rng.one_in(2) {
            body = body.replace(',', " ,\n  ");
        }
        let head = format!("POST /-/config/replace HTTP/1.1\r\nHost: x\r\nBase-Epoch: {base}\r\n");
        self.begin_request(purpose, &head, &body, None);
    }

    /// Sends a read of the newest configuration, for an operator or for the checkers.
    pub(crate) fn send_read(&mut self, operator: Option<usize>, only_machine: Option<usize>) {
        let head = "GET /-/config/read HTTP/1.1\r\nHost: x\r\n";
        self.begin_request(Purpose::Read { operator }, head, "", only_machine);
    }

    /// Begins or ends a change storm, in which operators pause only briefly between operations.
    pub(crate) fn set_change_storm(&mut self, in_change_storm: bool) {
        for operator in &mut self.control_clients.operators {
            operator.in_change_storm = in_change_storm;
        }
    }

    /// Sends `MAX_CHANGES_IN_FLIGHT` changes at once, all based on one version, by two operators and with two epochs.
    /// Changes beyond the limits of `submit_change` are not sent.
    pub(crate) fn submit_concurrent_changes(&mut self) {
        let base = self.control_clients.newest_known_epoch();
        for change in 0..MAX_CHANGES_IN_FLIGHT {
            self.submit_change(change % 2, base, base + 1 + (change as u64 / 2) % 2);
        }
    }

    /// Sends a read to one machine and at times a change to any machine, and repeats this for the duration `remaining`.
    pub(crate) fn flood_machine(&mut self, machine: usize, remaining: Nanos) {
        self.send_read(None, Some(machine));
        let give_up_at = self.now + FLOOD_READ_TIMEOUT;
        if let Some(request) = self.control_clients.last_request() {
            request.give_up_at = Some(give_up_at);
        }
        let newest = self.control_clients.newest_known_epoch();
        match self.rng.below(6) {
            0 => self.submit_change(0, newest, newest + 1),
            1 => {
                if let Some(change) = self.changes_where(ChangeRecord::is_committed).last() {
                    self.send_change(Purpose::Resend(*change));
                }
            }
            _ => {}
        }
        let pause = self.rng.between(millis(10), millis(60));
        let may_continue = self.observations.reads.len() < MAX_READS && !self.control_clients.in_final_phase;
        if remaining > pause && may_continue {
            let remaining = remaining - pause;
            self.schedule_client(pause, ControlClientEvent::Flood { machine, remaining });
        }
    }
}
