//! Settings of a run: its seed, its size, the guaranteed time bounds, and an optional seeded bug.

use crate::rng::splitmix64;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Number of machines that are listed as the first ones to contact in the settings of the processes; all machines if
/// there are fewer. They form the first view.
pub const FOUNDING_MEMBERS: usize = 3;
/// Retries that the retry budget allows, as a share of the requests in a window.
pub const RETRY_RATIO: f64 = 0.2;
/// Number of retries that the retry budget allows in each window regardless of the number of requests.
pub const RETRY_SLACK: f64 = 10.0;
/// Length of the windows in which the retry budget limits retries.
pub const RETRY_WINDOW: Nanos = millis(10_000);

/// Number of gateways in a run with changes in series: one in each zone, and a second in one of them, which takes its
/// updates from the first.
const SERIES_GATEWAYS: usize = 4;
const MAX_SERIES_CHANGES: usize = 400;
const SERIES_FAULT_PERIOD: Nanos = millis(100_000);

/// Number of clients per gateway in runs with gateways.
const CLIENTS_PER_GATEWAY: usize = 2;
/// Maximum relative difference between the rate of a process's clock and the simulated one; far above real drift.
const MAX_CLOCK_DRIFT: f64 = 0.005;
/// Rotation of the incarnation in bits when a clock's rate is drawn, so that the rate is independent of other values
/// derived from the seed and the incarnation.
const CLOCK_SEED_ROTATION: u32 = 16;

/// Time bounds that the system guarantees, as in the deployment files.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Interval between the heartbeats of a node. The same interval is set for controllers and gateways.
    pub heartbeat_interval: Nanos,
    /// Time after its acknowledgement within which a version must be in force at every gateway in contact.
    pub apply_deadline: Nanos,
    /// Time without disturbances of the process and of the core after which the process is in contact.
    pub contact_timeout: Nanos,
    /// Time within which a change or a drain must have a definitive response while the core is stable.
    pub ack_deadline: Nanos,
    /// Time after its acknowledgement within which a drain must be known to every gateway in contact.
    pub drain_cutoff: Nanos,
    /// Time for which a machine still counts as lost after its last fault has ended.
    pub catch_up_time: Nanos,
    /// Delay until a machine that replaces another is on the lists of controllers that clients may call.
    pub seed_lag: Nanos,
    /// Time for which service may be unavailable after the core was last split or more machines were lost than the
    /// fault budget allows. It applies to runs with core splits only.
    pub recovery_time: Nanos,
}

impl Bounds {
    /// Returns the time after which a connection ends if sent bytes are not acknowledged: a quarter of the contact
    /// time-out.
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

/// Deliberate bug of a run, which the checkers must find: in the simulated environment, a gateway or a controller.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// A disk acknowledges a write before it has stored it.
    DiskAcksEarly,
    /// A controller starts with the oldest of up to four earlier states of its disk.
    StaleDisk,
    /// The response 503 to a change, which does not tell whether the change is in force, becomes 200.
    AcknowledgesUnclear,
    /// A read of the configuration returns the result of an earlier read at the same machine.
    StaleReads,
    /// An acknowledged change is rejected when it is resent.
    RejectsRepeats,
    /// Controllers do not forward node updates to each other.
    WithholdsNodeUpdates,
    /// A controller's response goes to another client that is waiting for a response of the same machine.
    SwapsResponses,
    /// Subscribers receive an older configuration as if it were the newest.
    ReplaysOldConfig,
    /// Gateways receive no configurations for some seconds at a time.
    WithholdsConfigs,
    /// Gateways do not forward configurations to other gateways.
    RelaysNoConfigs,
    /// Gateways are configured with a retry budget a hundred times too large.
    UnlimitedRetries,
    /// A bug in the production code of the gateways.
    Gateway(fernknot_gateway::SeededBug),
    /// A bug in the production code of the controllers.
    Controller(fernknot_controller::SeededBug),
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of all random numbers; it determines the run together with the other settings.
    pub seed: u64,
    /// Number of controllers at the start.
    pub members: usize,
    /// Fault budget: number of machines that may be lost at one time.
    pub tolerated_losses: usize,
    /// Number of subscribers, which model the gateways' connections to controllers.
    pub subscribers: usize,
    /// Number of production gateways. A run has either gateways or subscribers.
    pub gateways: usize,
    /// Number of clients that send requests to the gateways.
    pub clients: usize,
    /// Number of nodes of the single backend.
    pub nodes: usize,
    /// Maximum number of configuration changes in the run, without the one that is sent after the faults have ended.
    pub max_changes: usize,
    /// Simulated time at which all faults end and no further ones are injected.
    pub fault_period: Nanos,
    /// Whether more machines than `tolerated_losses` may be lost at one time.
    pub exceeds_fault_budget: bool,
    /// Whether the core is also partitioned into two parts at times, in addition to the losses of the fault budget.
    pub splits_core: bool,
    /// Whether operators send changes one after another, each of which adds or removes a route, and losses of processes
    /// overlap as far as no disk is lost.
    pub changes_in_series: bool,
    /// Whether the clocks of processes run at different rates.
    pub uneven_clocks: bool,
    /// Whether the run records a log, which `Outcome` returns.
    pub trace: bool,
    /// Guaranteed time bounds, which the settings of the processes contain and the checkers enforce.
    pub bounds: Bounds,
    /// Bug that the checkers must find; `None` for a run without one.
    #[doc(hidden)]
    pub seeded_bug: Option<SeededBug>,
}

impl Settings {
    /// Creates settings for `members` controllers. As many may be lost as leave a majority, but at most two: the first
    /// view has three members, and a change must be stored on one disk more than may be lost.
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
            changes_in_series: false,
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

    /// Creates settings for the whole system with a series of changes that lasts minutes.
    pub fn change_series(seed: u64, members: usize) -> Settings {
        let settings = Settings::whole_system(seed, members).with_gateways(SERIES_GATEWAYS);
        Settings {
            changes_in_series: true,
            max_changes: MAX_SERIES_CHANGES,
            fault_period: SERIES_FAULT_PERIOD,
            ..settings
        }
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
