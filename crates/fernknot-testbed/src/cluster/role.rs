//! The programs of a cluster.

use crate::cluster::error::ClusterError;
use std::path::{Path, PathBuf};

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The control plane.
    Controller,
    /// The data plane.
    Gateway,
}

impl Role {
    /// The program for this role.
    pub fn program(self) -> &'static str {
        match self {
            Role::Controller => "fernknot-controller",
            Role::Gateway => "fernknot-gateway",
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Role::Controller => "controller",
            Role::Gateway => "gateway",
        }
    }

    /// The role as the settings file names it.
    pub(super) fn settings_name(self) -> &'static str {
        match self {
            Role::Controller => "registrar",
            Role::Gateway => "gateway",
        }
    }

    pub(super) fn process_name(self, number: usize) -> String {
        format!("{}-{number}", self.name())
    }

    /// The environment variable that names another program for this role.
    fn program_variable(self) -> &'static str {
        match self {
            Role::Controller => "FERNKNOT_CONTROLLER_PROGRAM",
            Role::Gateway => "FERNKNOT_GATEWAY_PROGRAM",
        }
    }

    /// The program for the process with this number: the one that the environment names, or the one beside.
    pub(super) fn program_of(self, number: usize) -> Result<PathBuf, ClusterError> {
        let variable = self.program_variable();
        let named = std::env::var_os(format!("{variable}_{number}")).or_else(|| std::env::var_os(variable));
        named.map_or_else(|| find_program(self.program()), |path| Ok(path.into()))
    }
}

/// Where a program lies: beside the one that asks, or one folder up, where tests lie one deeper.
///
/// # Errors
/// It is in neither.
pub fn find_program(name: &'static str) -> Result<PathBuf, ClusterError> {
    let missing = |beside| ClusterError::MissingProgram { name, beside };
    let own = std::env::current_exe().map_err(|error| missing(error.to_string()))?;
    let in_folder = |folder: &Path| Some(folder.join(name)).filter(|path| path.is_file());
    let found = own.ancestors().skip(1).take(2).find_map(in_folder);
    found.ok_or_else(|| missing(own.display().to_string()))
}
