//! `fernknot plan-capacity`.
use crate::{Fail, Words};
pub const OPTIONS: [&str; 9] = [
    "gateways",
    "nodes",
    "routes",
    "registrars",
    "changes-a-day",
    "queries-per-s",
    "parts",
    "zones",
    "beat-ms",
];
pub fn run(_: &Words) -> Result<(), Fail> {
    Err(Fail::Failed("not measured yet".into()))
}
