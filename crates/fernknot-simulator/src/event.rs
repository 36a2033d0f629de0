//! Events of the simulation.

use crate::control_clients::state::ControlClientEvent;
use crate::controllers::machine::Input;
use crate::gateways::state::GatewayEvent;
use crate::network::state::Stall;
use crate::subscribers::state::SubscriberEvent;
use crate::traffic::state::TrafficEvent;
use fernknot_consensus::{PersistentState, WriteId};
use fernknot_rpc::ControllerMessage;

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// An input for one incarnation of the controller on a machine.
    Input { machine: usize, incarnation: u64, input: Input },
    /// A message arrives over a connection between controllers.
    PeerMessage { connection: u64, message: ControllerMessage },
    /// The first packet of a connection between controllers arrives.
    PeerSyn { connection: u64 },
    /// Delivers the messages that a partition has stalled, if the partition has ended.
    FlushStalled { connection: u64 },
    /// Ends a connection between controllers if this stall still lasts, as acknowledgements are overdue.
    PeerTimeout { connection: u64, stall: Stall },
    /// A write reaches the disk.
    WriteDone { machine: usize, incarnation: u64, write: WriteId, state: PersistentState },
    /// Tries to reopen a full disk.
    DiskReopen { machine: usize, incarnation: u64 },
    /// A machine starts for the first time.
    FirstStart(usize),
    /// Starts the controller of a machine, unless it runs.
    StartMachine(usize),
    /// Ends a controller that is shutting down if it may exit or its shutdown deadline has passed.
    CheckStopped { machine: usize, incarnation: u64 },
    /// Updates the clients' lists of controllers to the machines that were not replaced.
    UpdateAdvertised,
    /// Injects the fault with this index in the schedule, which is due, or lets it wait for its trigger.
    FaultDue(usize),
    /// Injects the fault with this index in the schedule, unless it was injected before.
    InjectFault(usize),
    /// Ends the fault with this index in the schedule on the machine where it was injected.
    EndFault { fault: usize, machine: usize },
    /// Event of operators and nodes.
    ControlClient(ControlClientEvent),
    /// Event of subscribers.
    Subscriber(SubscriberEvent),
    /// Event of gateways and their connections.
    Gateway(GatewayEvent),
    /// Event of clients and of the requests at nodes.
    Traffic(TrafficEvent),
}
