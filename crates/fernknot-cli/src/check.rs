//! `fernknot check`: validates a configuration, or with `--settings` the settings of a process, and lists all errors.

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::output::print_line;
use fernknot_schema::{ProcessSettings, SystemConfig};
use std::path::Path;

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let [file] = arguments.expect_positional("check [--settings] FILE")?;
    let path = Path::new(file);
    let bytes = read_file(path)?;
    let summary = if arguments.flag("settings") {
        let settings = ProcessSettings::parse(&bytes).map_err(CliError::invalid(path))?;
        format!("{} in {}", settings.node_name, settings.zone)
    } else {
        let config = SystemConfig::validate(&bytes).map_err(CliError::invalid(path))?;
        let (routes, services) = (config.routing.routes.len(), config.routing.services.len());
        format!("version {}, {routes} routes, {services} services", config.routing.epoch)
    };
    print_line(format!("{}: sound; {summary}", path.display()));
    Ok(())
}

pub fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|source| CliError::ReadFile { path: path.into(), source })
}
