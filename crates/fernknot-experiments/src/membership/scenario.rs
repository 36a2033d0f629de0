//! The scenarios that are played.

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Some processes are killed, one after the other.
    Crash,
    /// A tenth of the processes is suspended for two seconds.
    Pause,
    /// A fifth of all datagrams is lost, and all of a twentieth of the routers at any time.
    Loss,
    /// Each router is not heard by one other.
    OneWay,
    /// Each router hears its left neighbour alone.
    Ring,
    /// Two fifths of the routers and the rest do not hear each other.
    Partition,
    /// Seven in ten processes are killed at once, and start again.
    MassFailure,
    /// All processes leave and start again, a tenth of them at a time.
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
    /// Their names.
    pub const NAMES: [&str; 8] = ["crash", "pause", "loss20", "one-way", "ring", "split", "herd", "roll"];

    /// Its name on the command line and in the output.
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

    /// The scenario of this name.
    pub fn from_name(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}
