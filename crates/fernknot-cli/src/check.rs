//! `fernknot check`: every fault of a file at once.

use crate::{Arguments, CliError, print_line};
use fernknot_schema::{ProcessSettings, RoutingConfig, ValidationError};
use std::path::Path;

pub fn run(words: &Arguments) -> Result<(), CliError> {
    let [file] = words.expect_positional("check [--settings] FILE")?;
    let path = Path::new(file);
    let bytes = read(path)?;
    if words.flag("settings") {
        let facts = ProcessSettings::parse(&bytes).map_err(|faults| config_faults(path, &faults))?;
        print_line(format!("{}: sound; {} in {}", path.display(), facts.node_name, facts.zone));
    } else {
        let plan = RoutingConfig::parse(&bytes).map_err(|faults| config_faults(path, &faults))?;
        let (routes, services) = (plan.routes.len(), plan.services.len());
        print_line(format!(
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
pub fn config_faults(path: &Path, faults: &[ValidationError]) -> CliError {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    CliError::Usage(lines.join("\n"))
}
