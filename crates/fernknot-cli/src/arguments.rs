//! Parsing of command arguments.

use crate::error::CliError;
use std::ffi::{OsStr, OsString};
use std::net::SocketAddrV4;
use std::str::FromStr;

/// Positional arguments and options of a command, such as `show`, without the command itself.
pub struct Arguments {
    pub positional: Vec<OsString>,
    options: Vec<(String, Option<String>)>,
}

impl Arguments {
    /// Parses the remaining arguments. `valued` are the names of options with a value, `flags` of options without one.
    pub fn parse(
        parser: &mut lexopt::Parser,
        valued: &[&str],
        flags: &[&str],
    ) -> Result<Arguments, CliError> {
        let mut arguments = Arguments { positional: Vec::new(), options: Vec::new() };
        while let Some(argument) = parser.next()? {
            match argument {
                lexopt::Arg::Value(value) => arguments.positional.push(value),
                lexopt::Arg::Long(name) if valued.contains(&name) => {
                    let name = name.to_string();
                    let value = parser.value()?.to_string_lossy().into_owned();
                    arguments.options.push((name, Some(value)));
                }
                lexopt::Arg::Long(name) if flags.contains(&name) => {
                    arguments.options.push((name.into(), None));
                }
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(arguments)
    }

    pub fn flag(&self, name: &str) -> bool {
        self.options.iter().any(|(key, _)| key == name)
    }

    /// Returns the value of an option, the last one if the option is repeated.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.options.iter().rev().find(|(key, _)| key == name).and_then(|(_, value)| value.as_deref())
    }

    pub fn number<T: FromStr>(&self, name: &str) -> Result<Option<T>, CliError> {
        let Some(value) = self.value(name) else { return Ok(None) };
        let to_usage_error = |_| CliError::Usage(format!("--{name}: {value} is not a valid number"));
        value.parse().map(Some).map_err(to_usage_error)
    }

    /// Returns the positional arguments if there are exactly `COUNT`, or else an error that shows `usage`.
    pub fn expect_positional<const COUNT: usize>(&self, usage: &str) -> Result<[&OsString; COUNT], CliError> {
        let positional: Vec<&OsString> = self.positional.iter().collect();
        positional.try_into().map_err(|_| CliError::Usage(format!("wanted: {usage}")))
    }
}

/// Parses comma-separated addresses.
pub fn parse_addrs(text: &OsStr) -> Result<Vec<SocketAddrV4>, CliError> {
    let text = text.to_string_lossy();
    let parse_addr = |addr: &str| {
        let to_usage_error = |_| CliError::Usage(format!("{addr}: is not an IPv4 address with a port"));
        addr.trim().parse().map_err(to_usage_error)
    };
    text.split(',').map(parse_addr).collect()
}
