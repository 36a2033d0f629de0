//! The variants that are compared.

use fernknot_membership::Variant as ProtocolVariant;

/// What is compared: this build, and two baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The protocol as the router runs it.
    Full,
    /// The same with SWIM's parts alone.
    PlainSwim,
    /// Heartbeats to all with one time-out.
    FixedHeartbeat,
}

impl Variant {
    /// All variants, in the order of the output.
    pub const ALL: [Variant; 3] = [Variant::Full, Variant::PlainSwim, Variant::FixedHeartbeat];
    /// Their names.
    pub const NAMES: [&str; 3] = ["fleet", "plain", "fixed"];

    /// Its name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Full => Variant::NAMES[0],
            Variant::PlainSwim => Variant::NAMES[1],
            Variant::FixedHeartbeat => Variant::NAMES[2],
        }
    }

    /// The variant of this name.
    pub fn from_name(name: &str) -> Option<Variant> {
        Variant::ALL.into_iter().find(|variant| variant.name() == name)
    }

    /// The variant of the protocol; `None` where another one runs.
    pub(super) fn protocol_variant(self) -> Option<ProtocolVariant> {
        match self {
            Variant::Full => Some(ProtocolVariant::Full),
            Variant::PlainSwim => Some(ProtocolVariant::PlainSwim),
            Variant::FixedHeartbeat => None,
        }
    }
}
