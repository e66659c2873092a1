//! `sassafras-standin`: runs stand-ins for the platform and the endpoints in tests and the demo.

use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{CliError, init_logs, parse_args, read_file};
use crate::adapter::clock::Clock;
use crate::standin::world::{Plan, Standins};

const USAGE: &str = "usage: sassafras-standin [options] PLAN";

/// Runs the stand-ins until SIGINT or SIGTERM.
pub fn run(args: &[String]) -> Result<(), CliError> {
    let matches = parse_args(&mut Options::new(), USAGE, args)?;
    let [file] = matches.free.as_slice() else {
        return Err(CliError::Usage(USAGE.to_owned()));
    };
    let plan = Plan::parse(file, &read_file(file)?)
        .map_err(|findings| CliError::Invalid(findings.to_string()))?;
    init_logs(false);
    let mut signals = Signals::new([SIGINT, SIGTERM])
        .map_err(|e| CliError::failed("can't install signal handlers", e))?;
    let standins = Standins::start(plan, &Clock::system());
    let _standins = standins.map_err(|e| CliError::failed("can't start the stand-ins", e))?;
    signals.forever().next();
    Ok(())
}
