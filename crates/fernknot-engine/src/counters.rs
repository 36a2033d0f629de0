//! Counters of an engine since its start.

/// Defines a struct `Counters` with the given counters and a method that formats them as text.
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
