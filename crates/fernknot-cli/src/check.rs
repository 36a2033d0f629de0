//! `fernknot check`: every fault of a file at once.

use crate::{Arguments, CliError, say};
use fernknot_schema::{ProcessSettings, RoutingConfig, ValidationError};
use std::path::Path;

pub fn run(words: &Arguments) -> Result<(), CliError> {
    let [file] = words.exactly("check [--settings] FILE")?;
    let path = Path::new(file);
    let bytes = read(path)?;
    if words.flag("settings") {
        let facts = ProcessSettings::read(&bytes).map_err(|faults| named(path, &faults))?;
        say(format!("{}: sound; {} in {}", path.display(), facts.node_name, facts.zone));
    } else {
        let plan = RoutingConfig::read(&bytes).map_err(|faults| named(path, &faults))?;
        let (routes, services) = (plan.routes.len(), plan.services.len());
        say(format!(
            "{}: sound; version {}, {routes} routes, {services} services",
            path.display(),
            plan.epoch
        ));
    }
    Ok(())
}

pub fn read(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|why| CliError::Usage(format!("{}: {why}", path.display())))
}

/// A line for each fault, with its place in the file.
pub fn named(path: &Path, faults: &[ValidationError]) -> CliError {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    CliError::Usage(lines.join("\n"))
}
