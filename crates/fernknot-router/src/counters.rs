//! What a router has taken in, sent and answered since its start.

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Debug, Default)]
        pub struct Counters { $(pub $name: u64),* }

        impl Counters {
            /// A line for each, name and value.
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
    bad_requests,
    settled_whole,
    settled_in_part,
    dismissed,
    broken_off,
    lapsed,
    answers_unread,
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
    answers_late,
    frames_bad,
    client_connections,
    client_connections_refused,
    node_connections,
    node_connects_failed,
    node_connections_idle_closed,
    lists_full,
    lists_changes,
    list_entries_bad,
    list_calls_failed,
    datagrams_sent,
    datagrams_taken,
    datagrams_dropped,
    configurations_taken,
    configurations_bad,
    turns,
    longest_turn_us,
    longest_late_us,
);
