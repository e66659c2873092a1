//! `check`: validates a configuration without publishing it.

use super::{CliError, argument, parse_command};
use crate::cmd::read_file;
use crate::config::FleetConfig;

const USAGE: &str = "usage: sassafras-ctl check FILE";

pub(super) struct Check {
    file: String,
}

impl Check {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        let matches = parse_command(USAGE, args, |_| {})?;
        Ok(Self { file: argument(&matches, USAGE)? })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let text = read_file(&self.file)?;
        let fleet =
            FleetConfig::parse(&self.file, &text).map_err(|f| CliError::Invalid(f.to_string()))?;
        println!(
            "{}: ok: {} tiers, {} classes, {} services, {} workspaces, {} exceptions",
            self.file,
            fleet.tiers.len(),
            fleet.classes.len(),
            fleet.services.len(),
            fleet.workspaces.len(),
            fleet.exceptions.len()
        );
        Ok(())
    }
}
