//! What operators ask by `fernknot show` and order by `fernknot force`.

use super::state::Controller;
use crate::counters as counter;
use crate::reports;
use fernknot_consensus::{ForceViewError, ViewNumber};
use fernknot_registry::VersionedRecords;
use fernknot_rpc::InspectionTopic;
use fernknot_telemetry::part;
use log::Level;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why no view is forced.
#[derive(Debug, Error)]
pub(super) enum ForceViewRejection {
    /// The consensus member is not known before the disk has been read.
    #[error("the disk has not been read yet")]
    DiskNotRead,
    /// The consensus member rejects the order.
    #[error(transparent)]
    Consensus(#[from] ForceViewError),
}

impl Controller {
    /// The report on a topic, as text for a person.
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
            InspectionTopic::Relays | InspectionTopic::Ownership => {
                reports::assignment(self.ownership.assignment())
            }
            InspectionTopic::Counters => {
                self.refresh_gauges();
                self.counters.to_json()
            }
        }
    }

    /// Forces a view without the members at `lost`, by an operator's order. Returns the number of the view.
    pub(super) fn force_view(&mut self, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewRejection> {
        let result = self.consensus.force_view(self.now(), lost).ok_or(ForceViewRejection::DiskNotRead)?;
        let lost: Vec<String> = lost.iter().map(ToString::to_string).collect();
        let lost = lost.join(", ");
        let text = match &result {
            Ok(number) => format!("an operator forces view {}: {lost} are lost", number.0),
            Err(error) => format!("a forced view without {lost} is rejected: {error}"),
        };
        self.actions.log(Level::Warn, part::CONSENSUS, text);
        Ok(result?)
    }

    /// Sets the gauges to what they are now.
    pub(super) fn refresh_gauges(&mut self) {
        let status = self.consensus.status();
        let fault_tolerance = status.map_or(0, |status| status.remaining_fault_tolerance);
        let gauges = [
            (counter::VIEW, self.consensus.view().map_or(0, |view| view.number.0)),
            (counter::EPOCH, self.active_config.state.epoch),
            (counter::REVISION, self.active_config.revision),
            (counter::LEASE, self.holds_lease() as u64),
            (counter::REMAINING_FAULT_TOLERANCE, fault_tolerance as u64),
            (counter::NODES_UP, self.nodes.up_count() as u64),
            (counter::SUBSCRIBERS, self.subscribers.len() as u64),
            (counter::PEERS_UP, self.peers.connected().len() as u64),
            (counter::FENCING_TOKEN, self.ownership.assignment().fencing_token.0),
            (counter::DISK_HEALTHY, self.disk.is_healthy as u64),
        ];
        gauges.into_iter().for_each(|(name, value)| self.counters.set(name, value));
    }
}
