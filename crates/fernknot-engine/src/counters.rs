//! Counters of an engine since its start. Their names are those that operators see.
//!
//! - `multigets_taken`: multigets submitted, of which `multigets_repeated` are marked as retries by the client;
//!   `parts_taken`: their parts, without those of second phases; `lapsed`: multigets whose client has gone.
//! - `phased_taken`: queries in two phases, a first that asks blocks of data which blocks hold matches, and a second
//!   that fetches these. `phased_opened`: those whose second phase began. `phased_whole` and `phased_in_part`: those
//!   with a complete and with a partial answer.
//! - `first_phase_refused`: queries in two phases that ended without an answer in the first phase;
//!   `second_phase_refused`: in the second before an attempt of it; `second_phase_failed`: after one.
//!   `first_phase_lapsed` and `second_phase_lapsed`: those whose client has gone.
//! - `blocks_fetched`, `blocks_pruned` and `blocks_unasked`: blocks in the answers to queries in two phases by their
//!   `BlockState`; `Missing` counts as unasked.
//! - `match_values_bad`: invalid answers in first phases; `match_answers_late`: those that were duplicates or came
//!   after the end of the phase.
//! - `hand_offs`: attempts, of which `hand_offs_further` are those beyond the first of their part;
//!   `hand_offs_called_off`: cancellations that the decision module decided on.
//! - `outcome_...`: ended attempts by `Outcome`, where `turned_away` is `Rejected`, `broken` is `Invalid` and
//!   `called_off` is `Cancelled`.

/// Defines a struct `Counters` with a `u64` field for each given name, and a method that formats them as text.
#[macro_export]
macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// Counters since the start. The names of the fields are those that operators see.
        #[derive(Clone, Debug, Default)]
        pub struct Counters {
            $(
                #[doc = concat!("The counter `", stringify!($name), "`.")]
                pub $name: u64,
            )*
        }

        impl Counters {
            /// Returns the counters as text: one line for each, with its name and value.
            pub fn text(&self) -> String {
                let mut text = String::new();
                $(text.push_str(&format!("{} {}\n", stringify!($name), self.$name));)*
                text
            }
        }
    };
}

counters!(
    multigets_taken,
    multigets_repeated,
    parts_taken,
    lapsed,
    phased_taken,
    phased_opened,
    phased_whole,
    phased_in_part,
    first_phase_refused,
    first_phase_lapsed,
    second_phase_refused,
    second_phase_failed,
    second_phase_lapsed,
    blocks_fetched,
    blocks_pruned,
    blocks_unasked,
    match_values_bad,
    match_answers_late,
    hand_offs,
    hand_offs_further,
    hand_offs_called_off,
    outcome_answered,
    outcome_error,
    outcome_turned_away,
    outcome_timed_out,
    outcome_unreachable,
    outcome_broken,
    outcome_called_off,
    outcome_never_sent,
);
