//! What a run consists of: its seed, its size, the promised bounds, and a bug that may be seeded.

use crate::rng::splitmix64;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Machines that the settings of a system name at its first start.
pub const FOUNDING_MEMBERS: usize = 3;
/// Retries that the budget allows, as a share of the requests of a window.
pub const RETRY_RATIO: f64 = 0.2;
/// Retries that the budget allows in each window whatever the number of requests.
pub const RETRY_SLACK: f64 = 10.0;
/// The window of the retry budget.
pub const RETRY_WINDOW: Nanos = millis(10_000);

/// Clients of a run for each of its gateways.
const CLIENTS_PER_GATEWAY: usize = 2;
/// How much faster or slower than the simulated clock that of a process runs at most: far more than real ones.
const MAX_CLOCK_DRIFT: f64 = 0.005;
/// Makes the draw of a clock's rate differ from other draws by the same numbers.
const CLOCK_SEED_ROTATION: u32 = 16;

/// The times that the system promises, as the deployment files give them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How often a node sends a heartbeat.
    pub heartbeat_interval: Nanos,
    /// Within this an acknowledged version is in force at every gateway in touch.
    pub apply_deadline: Nanos,
    /// A process is in touch once nothing has disturbed it for so long.
    pub contact_timeout: Nanos,
    /// Within this a change or a drain has a clear answer while the core is stable.
    pub ack_deadline: Nanos,
    /// Within this an acknowledged drain is known to every gateway in touch.
    pub drain_cutoff: Nanos,
    /// A machine counts as lost for so long after its fault has ended.
    pub catch_up_time: Nanos,
    /// Client lists name a new machine so long after it has come.
    pub seed_lag: Nanos,
    /// Service may rest for so long after all machines are back, where more was lost than the budget allows.
    pub recovery_time: Nanos,
}

impl Bounds {
    /// After this a connection without acknowledgements is given up, as the host asks its sockets to.
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
    /// 503 to a change becomes 200.
    AcknowledgesUnclear,
    /// A read is answered with what was read there before.
    StaleReads,
    /// An acknowledged change is rejected when it is sent again.
    RejectsRepeats,
    /// Controllers don't forward updates of nodes to each other.
    WithholdsNodeUpdates,
    /// A response goes to another client that waits.
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

/// The settings of one run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// From which everything random is derived.
    pub seed: u64,
    /// Controllers at the start.
    pub members: usize,
    /// Machines that may be lost at one time.
    pub losses: usize,
    /// Stand-ins for the gateways' control side.
    pub subscribers: usize,
    /// Production gateways, in place of subscribers.
    pub gateways: usize,
    /// Clients of the gateways.
    pub clients: usize,
    /// Nodes of the one service.
    pub nodes: usize,
    /// Changes of the configuration in the whole run.
    pub max_changes: usize,
    /// Faults are injected for so long.
    pub fault_period: Nanos,
    /// More machines may be lost at one time than `losses`.
    pub exceeds_fault_budget: bool,
    /// The core is partitioned into two halves now and then, whatever is lost besides.
    pub splits_core: bool,
    /// The clocks of processes run at different rates.
    pub uneven_clocks: bool,
    /// Whether a log is written.
    pub trace: bool,
    /// The promised times.
    pub bounds: Bounds,
    /// A bug that the checkers are to find.
    #[doc(hidden)]
    pub seeded_bug: Option<SeededBug>,
}

impl Settings {
    /// A run of so many controllers, of which as many may be lost as leave a majority; two at most, as three seeds
    /// found the first view and a change lies on one disk more than may be lost.
    pub fn new(seed: u64, members: usize) -> Settings {
        Settings {
            seed,
            members,
            losses: (members.saturating_sub(1) / 2).min(FOUNDING_MEMBERS - 1),
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

    /// A run of the whole system: production gateways among clients and nodes that answer.
    pub fn whole_system(seed: u64, members: usize) -> Settings {
        let settings = Settings::new(seed, members);
        Settings { subscribers: 0, nodes: 4, ..settings }.with_gateways(2)
    }

    /// The same with so many gateways, and clients in proportion.
    pub fn with_gateways(self, gateways: usize) -> Settings {
        Settings { gateways, clients: CLIENTS_PER_GATEWAY * gateways, ..self }
    }

    /// The rate of a process's clock beside the simulated one.
    pub(crate) fn clock_rate(&self, incarnation: u64) -> f64 {
        if !self.uneven_clocks {
            return 1.0;
        }
        let draw = splitmix64(self.seed ^ incarnation.rotate_left(CLOCK_SEED_ROTATION));
        let share = draw as f64 / u64::MAX as f64;
        1.0 + MAX_CLOCK_DRIFT * (2.0 * share - 1.0)
    }

    /// Whether this bug is seeded.
    pub(crate) fn has_bug(&self, bug: SeededBug) -> bool {
        self.seeded_bug == Some(bug)
    }
}
