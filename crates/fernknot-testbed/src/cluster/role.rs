//! Roles of processes, and their programs.

use crate::cluster::error::ClusterError;
use std::path::{Path, PathBuf};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Controller, in the control plane.
    Controller,
    /// Gateway, in the data plane.
    Gateway,
}

impl Role {
    /// Returns the name of the program for this role.
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

    /// Returns the role's name in the settings file.
    pub(super) fn settings_name(self) -> &'static str {
        match self {
            Role::Controller => "registrar",
            Role::Gateway => "gateway",
        }
    }

    pub(super) fn process_name(self, number: usize) -> String {
        format!("{}-{number}", self.name())
    }

    /// Returns the environment variable that overrides the program for this role.
    fn program_variable(self) -> &'static str {
        match self {
            Role::Controller => "FERNKNOT_CONTROLLER_PROGRAM",
            Role::Gateway => "FERNKNOT_GATEWAY_PROGRAM",
        }
    }

    /// Returns the program of a process: the one that the environment names, or the one next to the current program.
    pub(super) fn program_of(self, number: usize) -> Result<PathBuf, ClusterError> {
        let variable = self.program_variable();
        let override_path =
            std::env::var_os(format!("{variable}_{number}")).or_else(|| std::env::var_os(variable));
        override_path.map_or_else(|| find_program(self.program()), |path| Ok(path.into()))
    }
}

/// Returns the path of a program in the directory of the current program or its parent. Tests run in a subdirectory of the
/// directory that contains the programs.
///
/// # Errors
/// The program is in neither directory.
pub fn find_program(name: &'static str) -> Result<PathBuf, ClusterError> {
    let missing = |searcher| ClusterError::MissingProgram { name, searcher };
    let current_program = std::env::current_exe().map_err(|error| missing(error.to_string()))?;
    let in_directory = |directory: &Path| Some(directory.join(name)).filter(|path| path.is_file());
    let found = current_program.ancestors().skip(1).take(2).find_map(in_directory);
    found.ok_or_else(|| missing(current_program.display().to_string()))
}
