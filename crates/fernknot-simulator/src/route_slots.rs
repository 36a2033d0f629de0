//! Routes that come and go in a series of changes. Each change adds or removes one route, so that most routes are in
//! many successive versions, and requests on a route show whether a gateway knows its last addition or removal.

/// Number of routes that come and go. Each is in `SLOT_COUNT` successive versions and then absent from as many.
pub const SLOT_COUNT: u64 = 24;

/// Returns whether the version of the change with this number contains the route of this slot.
pub fn contains_slot(change: u64, slot: u64) -> bool {
    ((change + slot) / SLOT_COUNT).is_multiple_of(2)
}

/// Returns the slot whose route the change with this number adds or removes.
pub fn changed_slot(change: u64) -> u64 {
    (SLOT_COUNT - change % SLOT_COUNT) % SLOT_COUNT
}

/// Returns the path prefix of a slot's route.
pub fn slot_path(slot: u64) -> String {
    format!("/s{slot}/")
}
