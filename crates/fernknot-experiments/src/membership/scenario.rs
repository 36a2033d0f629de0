//! Fault scenarios.

/// Fault scenario of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Some processes are killed, one after another.
    Crash,
    /// A tenth of the processes are suspended for two seconds.
    Pause,
    /// A fifth of all datagrams are lost, and in addition all datagrams that a twentieth of the routers send. This
    /// twentieth is drawn anew every second.
    Loss,
    /// Each router has another one that cannot receive from it.
    OneWay,
    /// Each router receives only from the one with the previous number; the first router, from the last.
    Ring,
    /// Two fifths of the routers are partitioned from the rest, in both directions.
    Partition,
    /// Seven in ten processes are killed at once, and restart.
    MassFailure,
    /// All processes shut down and restart, a tenth of them at a time.
    RollingRestart,
}

impl Scenario {
    /// All scenarios, in the order of the output.
    pub const ALL: [Scenario; 8] = [
        Scenario::Crash,
        Scenario::Pause,
        Scenario::Loss,
        Scenario::OneWay,
        Scenario::Ring,
        Scenario::Partition,
        Scenario::MassFailure,
        Scenario::RollingRestart,
    ];
    /// Names of all scenarios, in the order of [`ALL`](Self::ALL).
    pub const NAMES: [&str; 8] = ["crash", "pause", "loss20", "one-way", "ring", "split", "herd", "roll"];

    /// Returns the name used on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Crash => Scenario::NAMES[0],
            Scenario::Pause => Scenario::NAMES[1],
            Scenario::Loss => Scenario::NAMES[2],
            Scenario::OneWay => Scenario::NAMES[3],
            Scenario::Ring => Scenario::NAMES[4],
            Scenario::Partition => Scenario::NAMES[5],
            Scenario::MassFailure => Scenario::NAMES[6],
            Scenario::RollingRestart => Scenario::NAMES[7],
        }
    }

    /// Returns the scenario with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}
