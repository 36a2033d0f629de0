//! Duration of the controllers' leases, which controllers and gateways have to agree on.

use fernknot::interface::Nanos;

/// Duration of a lease, as a share of the contact timeout.
const LEASE_CONTACT_SHARE: f64 = 0.2;

/// Time for which a controller holds its lease after a majority of the controllers last confirmed it: what a controller
/// with a lease sends is at most that old. `contact` is `contact_ms` of the settings.
pub fn lease_duration(contact: Nanos) -> Nanos {
    contact.times(LEASE_CONTACT_SHARE)
}
