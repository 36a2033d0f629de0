//! Variants of the membership protocol.

use fernknot_membership::Variant as ProtocolVariant;

/// Membership protocol of a run: the production one, or a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Production protocol.
    Full,
    /// Production protocol reduced to the published SWIM protocol, without its extensions.
    PlainSwim,
    /// Heartbeats every second to all other routers, with a time-out of three seconds.
    FixedHeartbeat,
}

impl Variant {
    /// All variants, in the order of the output.
    pub const ALL: [Variant; 3] = [Variant::Full, Variant::PlainSwim, Variant::FixedHeartbeat];
    /// Names of all variants, in the order of [`ALL`](Self::ALL).
    pub const NAMES: [&str; 3] = ["fleet", "plain", "fixed"];

    /// Returns the name used on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Full => Variant::NAMES[0],
            Variant::PlainSwim => Variant::NAMES[1],
            Variant::FixedHeartbeat => Variant::NAMES[2],
        }
    }

    /// Returns the variant with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Variant> {
        Variant::ALL.into_iter().find(|variant| variant.name() == name)
    }

    /// Returns the variant of the production protocol; `None` for fixed heartbeats.
    pub(super) fn protocol_variant(self) -> Option<ProtocolVariant> {
        match self {
            Variant::Full => Some(ProtocolVariant::Full),
            Variant::PlainSwim => Some(ProtocolVariant::PlainSwim),
            Variant::FixedHeartbeat => None,
        }
    }
}
