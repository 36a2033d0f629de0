//! Requests of operators by `fernknot show` and `fernknot force`.

use super::state::Controller;
use crate::counters as counter;
use crate::reports;
use fernknot_consensus::{ForceViewError, ViewNumber};
use fernknot_registry::VersionedRecords;
use fernknot_rpc::InspectionTopic;
use fernknot_telemetry::component;
use log::Level;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Reason why a forced view is rejected.
#[derive(Debug, Error)]
pub(super) enum ForceViewRejection {
    /// The disk has not been read yet, so there is no consensus member.
    #[error("the disk has not been read yet")]
    DiskNotRead,
    /// The consensus member rejects the request, for this reason.
    #[error(transparent)]
    Consensus(#[from] ForceViewError),
}

impl Controller {
    /// Returns the human-readable report on a topic.
    pub(super) fn inspect(&mut self, topic: InspectionTopic) -> String {
        match topic {
            InspectionTopic::Nodes => {
                let VersionedRecords { version, records } = self.nodes.snapshot();
                reports::nodes(self.nodes.up_count(), version, records)
            }
            InspectionTopic::Views => reports::view(
                self.consensus.status().as_ref(),
                self.active_config.revision,
                self.settings.tolerated_losses,
                self.holds_lease(),
            ),
            InspectionTopic::Relays => reports::assignment(self.ownership.assignment()),
            InspectionTopic::Ownership => {
                let reporter = self.reporter_status().as_ref().map(reports::reporter);
                reports::assignment(self.ownership.assignment()) + &reporter.unwrap_or_default()
            }
            InspectionTopic::Counters => {
                self.refresh_gauges();
                self.counters.to_json()
            }
        }
    }

    /// Forces a view without the members at `lost`, on an operator's request. Returns the number of the view.
    pub(super) fn force_view(&mut self, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewRejection> {
        let result = self.consensus.force_view(self.now(), lost).ok_or(ForceViewRejection::DiskNotRead)?;
        let lost: Vec<String> = lost.iter().map(ToString::to_string).collect();
        let lost = lost.join(", ");
        let text = match &result {
            Ok(number) => format!("operator forced view {} without the lost members {lost}", number.0),
            Err(error) => format!("rejected the operator's request to force a view without {lost}: {error}"),
        };
        self.actions.log(Level::Warn, component::CONSENSUS, text);
        Ok(result?)
    }

    /// Sets the gauges to the current values; to be called before the counters are reported.
    pub(super) fn refresh_gauges(&mut self) {
        let status = self.consensus.status();
        let fault_tolerance = status.map_or(0, |status| status.remaining_fault_tolerance);
        let gauges = [
            (counter::VIEW, self.consensus.view().map_or(0, |view| view.number.0)),
            (counter::EPOCH, self.active_config.state.epoch),
            (counter::REVISION, self.active_config.config_revision),
            (counter::LEASE, self.holds_lease() as u64),
            (counter::REMAINING_FAULT_TOLERANCE, fault_tolerance as u64),
            (counter::NODES_UP, self.nodes.up_count() as u64),
            (counter::SUBSCRIBERS, self.subscribers.len() as u64),
            (counter::PEERS_UP, self.peers.connected().len() as u64),
            (counter::FENCING_TOKEN, self.ownership.assignment().fencing_token.0),
            (counter::DISK_HEALTHY, self.disk.is_healthy as u64),
        ];
        gauges.into_iter().for_each(|(name, value)| self.counters.set(name, value));
        self.refresh_usage_gauges();
    }
}
