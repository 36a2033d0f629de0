//! Settings of a run: its seed, its size, the guaranteed time bounds, and an optional seeded bug.

use crate::rng::splitmix64;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Number of controllers' machines that are listed as seeds, if there are as many.
pub const FOUNDING_MEMBERS: usize = 3;
/// Retries that the retry budget allows, as a share of the requests in a window.
pub const RETRY_RATIO: f64 = 0.2;
/// Number of retries that the retry budget allows in each window regardless of the number of requests.
pub const RETRY_SLACK: f64 = 10.0;
/// Window of the retry budget.
pub const RETRY_WINDOW: Nanos = millis(10_000);

/// Number of clients per gateway.
const CLIENTS_PER_GATEWAY: usize = 2;
/// Maximum relative difference between the rate of a process's clock and the simulated one; far above real drift.
const MAX_CLOCK_DRIFT: f64 = 0.005;
/// Rotation of the incarnation in bits when a clock's rate is drawn, so that the rate is independent of other values
/// derived from the seed and the incarnation.
const CLOCK_SEED_ROTATION: u32 = 16;

/// Time bounds that the system guarantees, as in the deployment files.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Interval between the heartbeats of a node.
    pub heartbeat_interval: Nanos,
    /// Time after its acknowledgement within which a version must be in force at every gateway in contact.
    pub apply_deadline: Nanos,
    /// Time without disturbances after which a process is in contact.
    pub contact_timeout: Nanos,
    /// Time within which a change or a drain must have a definitive response while the core is stable.
    pub ack_deadline: Nanos,
    /// Time after its acknowledgement within which a drain must be known to every gateway in contact.
    pub drain_cutoff: Nanos,
    /// Time for which a machine still counts as lost after its fault has ended.
    pub catch_up_time: Nanos,
    /// Delay until clients' lists contain a new machine.
    pub seed_lag: Nanos,
    /// Time for which service may be unavailable after all machines are back, if more were lost than the budget allows.
    pub recovery_time: Nanos,
}

impl Bounds {
    /// Returns the time after which a connection without acknowledgements ends, as configured on the host's sockets.
    pub fn suspect_timeout(&self) -> Nanos {
        self.contact_timeout.times(0.25)
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            heartbeat_interval: millis(1200),
            apply_deadline: millis(3000),
            contact_timeout: millis(4000),
            ack_deadline: millis(5000),
            drain_cutoff: millis(3000),
            catch_up_time: millis(4000),
            seed_lag: millis(3000),
            recovery_time: millis(12_000),
        }
    }
}

/// A bug seeded into a run, which the checkers must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// A disk acknowledges a write before it has stored it.
    DiskAcksEarly,
    /// A process starts with an older copy of its disk.
    StaleDisk,
    /// The response 503 to a change becomes 200.
    AcknowledgesUnclear,
    /// A read returns the result of an earlier read at the same machine.
    StaleReads,
    /// An acknowledged change is rejected when it is resent.
    RejectsRepeats,
    /// Controllers do not forward node updates to each other.
    WithholdsNodeUpdates,
    /// A response goes to another waiting client.
    SwapsResponses,
    /// Subscribers receive an older configuration as if it were the newest.
    ReplaysOldConfig,
    /// Gateways are configured with a retry budget a hundred times too large.
    UnlimitedRetries,
    /// A bug in the gateways.
    Gateway(fernknot_gateway::SeededBug),
    /// A bug in the controllers.
    Controller(fernknot_controller::SeededBug),
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of controllers at the start.
    pub members: usize,
    /// Number of machines that may be lost at one time.
    pub tolerated_losses: usize,
    /// Number of subscribers, which model the gateways' control connections.
    pub subscribers: usize,
    /// Number of production gateways, which replace the subscribers.
    pub gateways: usize,
    /// Number of clients of the gateways.
    pub clients: usize,
    /// Number of nodes of the single backend.
    pub nodes: usize,
    /// Maximum number of configuration changes in the run.
    pub max_changes: usize,
    /// Time at which the injection of faults ends.
    pub fault_period: Nanos,
    /// Whether more machines than `tolerated_losses` may be lost at one time.
    pub exceeds_fault_budget: bool,
    /// Whether the core is also partitioned into two halves at times, in addition to the losses of the budget.
    pub splits_core: bool,
    /// Whether the clocks of processes run at different rates.
    pub uneven_clocks: bool,
    /// Whether a log is written.
    pub trace: bool,
    /// Guaranteed time bounds.
    pub bounds: Bounds,
    /// Bug that the checkers must find.
    #[doc(hidden)]
    pub seeded_bug: Option<SeededBug>,
}

impl Settings {
    /// Creates settings for `members` controllers. As many may be lost as leave a majority, but at most two: three
    /// seeds form the first view, and a change is stored on one disk more than may be lost.
    pub fn new(seed: u64, members: usize) -> Settings {
        Settings {
            seed,
            members,
            tolerated_losses: (members.saturating_sub(1) / 2).min(FOUNDING_MEMBERS - 1),
            subscribers: 3,
            gateways: 0,
            clients: 0,
            nodes: 3,
            max_changes: 60,
            fault_period: millis(30_000),
            exceeds_fault_budget: false,
            splits_core: false,
            uneven_clocks: false,
            trace: false,
            bounds: Bounds::default(),
            seeded_bug: None,
        }
    }

    /// Creates settings for the whole system: production gateways with clients and responding nodes.
    pub fn whole_system(seed: u64, members: usize) -> Settings {
        let settings = Settings::new(seed, members);
        Settings { subscribers: 0, nodes: 4, ..settings }.with_gateways(2)
    }

    /// Sets the number of gateways, and the number of clients in proportion.
    pub fn with_gateways(self, gateways: usize) -> Settings {
        Settings { gateways, clients: CLIENTS_PER_GATEWAY * gateways, ..self }
    }

    /// Returns the rate of a process's clock relative to the simulated one.
    pub(crate) fn clock_rate(&self, incarnation: u64) -> f64 {
        if !self.uneven_clocks {
            return 1.0;
        }
        let draw = splitmix64(self.seed ^ incarnation.rotate_left(CLOCK_SEED_ROTATION));
        let share = draw as f64 / u64::MAX as f64;
        1.0 + MAX_CLOCK_DRIFT * (2.0 * share - 1.0)
    }

    /// Returns whether this bug is seeded.
    pub(crate) fn has_bug(&self, bug: SeededBug) -> bool {
        self.seeded_bug == Some(bug)
    }
}
