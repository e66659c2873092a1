//! `check`: validates a configuration without publishing it.

use super::{Stop, argument, options};
use crate::cmd::slurp;
use crate::config::Fleet;

const BRIEF: &str = "usage: sassafras-ctl check FILE";

pub(super) struct Check {
    file: String,
}

impl Check {
    pub(super) fn new(args: &[String]) -> Result<Self, Stop> {
        let matches = options(BRIEF, args, |_| {})?;
        Ok(Self { file: argument(&matches, BRIEF)? })
    }

    pub(super) fn run(self) -> Result<(), Stop> {
        let text = slurp(&self.file)?;
        let fleet = Fleet::parse(&self.file, &text).map_err(|f| Stop::Invalid(f.to_string()))?;
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
