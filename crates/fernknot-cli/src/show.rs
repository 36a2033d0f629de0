//! `fernknot show`: prints a report on the state of a running process.

use crate::arguments::{Arguments, parse_addrs};
use crate::error::CliError;
use crate::output::print_line;
use fernknot_rpc::InspectionTopic;
use fernknot_testbed::inspection::inspect;
use std::time::Duration;

/// Time-out for the response of a process to an inspection or to a forced view.
pub const INSPECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the topic of the report with this name. `homes` and `duties` are earlier names of `relays` and `ownership`.
fn topic(name: &str) -> Option<InspectionTopic> {
    Some(match name {
        "nodes" => InspectionTopic::Nodes,
        "views" => InspectionTopic::Views,
        "relays" | "homes" => InspectionTopic::Relays,
        "ownership" | "duties" => InspectionTopic::Ownership,
        "counters" => InspectionTopic::Counters,
        _ => return None,
    })
}

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let usage = "show nodes|views|relays|ownership|counters ADDR";
    let [name, addrs] = arguments.expect_positional(usage)?;
    let name = name.to_string_lossy();
    let unknown_topic =
        || CliError::Usage(format!("{name}: is none of nodes, views, relays, ownership, counters"));
    let topic = topic(&name).ok_or_else(unknown_topic)?;
    for addr in parse_addrs(addrs)? {
        let report = inspect(addr, topic, INSPECTION_TIMEOUT)?;
        print_line(report.trim_end());
    }
    Ok(())
}
