//! What is scheduled to happen.

use crate::control_clients::state::ControlClientEvent;
use crate::controllers::machine::Input;
use crate::gateways::state::GatewayEvent;
use crate::network::state::Stall;
use crate::subscribers::state::SubscriberEvent;
use crate::traffic::state::TrafficEvent;
use fernknot_consensus::{PersistentState, WriteId};
use fernknot_rpc::ControllerMessage;

/// An event that is due at some moment.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// An input for one incarnation of the controller on a machine.
    Input { machine: usize, incarnation: u64, input: Input },
    /// A message arrives over a connection between controllers.
    PeerMessage { connection: u64, message: ControllerMessage },
    /// The first packet of a connection between controllers arrives.
    PeerSyn { connection: u64 },
    /// Messages that a partition has stalled go on, if it has ended.
    FlushStalled { connection: u64 },
    /// A connection between controllers ends, if nothing has been acknowledged for too long.
    PeerTimeout { connection: u64, stall: Stall },
    /// A write reaches the disk.
    WriteDone { machine: usize, incarnation: u64, write: WriteId, state: PersistentState },
    /// A full disk may have room.
    DiskReopen { machine: usize, incarnation: u64 },
    /// A machine starts for the first time.
    FirstStart(usize),
    /// The controller of a machine starts again, unless it runs.
    StartMachine(usize),
    /// Whether a controller that was asked to stop may end.
    CheckStopped { machine: usize, incarnation: u64 },
    /// The lists of clients follow the machines that there are.
    UpdateAdvertised,
    /// A fault of the schedule is due: it happens, or waits for its trigger.
    FaultDue(usize),
    /// A fault of the schedule happens.
    InjectFault(usize),
    /// A fault of the schedule ends, on the machine where it happened.
    EndFault { fault: usize, machine: usize },
    /// For operators and nodes.
    ControlClient(ControlClientEvent),
    /// For subscribers.
    Subscriber(SubscriberEvent),
    /// For gateways and their connections.
    Gateway(GatewayEvent),
    /// For clients and the requests at nodes.
    Traffic(TrafficEvent),
}
