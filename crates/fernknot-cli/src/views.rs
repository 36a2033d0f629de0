//! `fernknot views force`: forces a view of the remaining controllers after the loss of more disks than tolerated. A
//! view is the numbered set of controllers that decide on changes of the configuration.

use crate::arguments::{Arguments, parse_addrs};
use crate::error::CliError;
use crate::output::print_line;
use crate::show::INSPECTION_TIMEOUT;
use fernknot_testbed::inspection::force_view;
use std::ffi::OsStr;

const USAGE: &str = "views force ADDR --lost ADDR[,ADDR...] --yes-the-others-are-lost";
const LOST_MISSING: &str = "--lost is missing: the members whose disks are lost, as `show views` names them";
const CONFIRMATION_MISSING: &str = "--yes-the-others-are-lost is missing: data that only the lost members have is given up, and they rejoin as new members";

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let [verb, addr] = arguments.expect_positional(USAGE)?;
    let (true, [addr]) = (verb == "force", &parse_addrs(addr)?[..]) else {
        return Err(CliError::Usage(format!("wanted: {USAGE}")));
    };
    let lost = match arguments.value("lost") {
        None => return Err(CliError::Usage(LOST_MISSING.into())),
        Some("none") => Vec::new(),
        Some(lost) => parse_addrs(OsStr::new(lost))?,
    };
    if !arguments.flag("yes-the-others-are-lost") {
        return Err(CliError::Usage(CONFIRMATION_MISSING.into()));
    }
    match force_view(*addr, lost, INSPECTION_TIMEOUT)? {
        Ok(number) => {
            let hint = format!("`fernknot show views {addr}` shows when it is in force");
            print_line(format!("view {number} is forced; {hint}"));
            Ok(())
        }
        Err(reason) => Err(CliError::Failed(format!("not forced: {reason}"))),
    }
}
