//! `fernknot views force`: a view of what is left, when more disks are lost for good than may be.

use crate::arguments::{Arguments, parse_addrs};
use crate::error::CliError;
use crate::output::print_line;
use crate::show::INSPECTION_TIMEOUT;
use fernknot_testbed::inspection::force_view;
use std::ffi::OsStr;

const USAGE: &str = "views force ADDR --lost ADDR[,ADDR...] --yes-the-others-are-lost";
const NO_LOST: &str = "--lost is missing: whose disks are gone for good, as `show views` names them";
const NO_CONSENT: &str = "--yes-the-others-are-lost is missing: what only they hold is given up, and they come back as new members";

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let [verb, addr] = arguments.expect_positional(USAGE)?;
    let (true, [addr]) = (verb == "force", &parse_addrs(addr)?[..]) else {
        return Err(CliError::Usage(format!("wanted: {USAGE}")));
    };
    let lost = match arguments.value("lost") {
        None => return Err(CliError::Usage(NO_LOST.into())),
        Some("none") => Vec::new(),
        Some(lost) => parse_addrs(OsStr::new(lost))?,
    };
    if !arguments.flag("yes-the-others-are-lost") {
        return Err(CliError::Usage(NO_CONSENT.into()));
    }
    match force_view(*addr, lost, INSPECTION_TIMEOUT)? {
        Ok(number) => {
            let next = format!("`fernknot show views {addr}` says when it is in force");
            print_line(format!("view {number} is forced; {next}"));
            Ok(())
        }
        Err(reason) => Err(CliError::Failed(format!("not forced: {reason}"))),
    }
}
