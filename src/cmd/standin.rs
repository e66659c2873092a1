//! `sassafras-standin`: the platform's and the endpoints' place in tests and the demo.

use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{Stop, logs, parse, slurp};
use crate::adapter::clock::Clock;
use crate::standin::world::{Plan, World};

const BRIEF: &str = "usage: sassafras-standin [options] PLAN";

/// Runs until it is told to end.
pub fn run(args: &[String]) -> Result<(), Stop> {
    let matches = parse(&mut Options::new(), BRIEF, args)?;
    let [file] = matches.free.as_slice() else {
        return Err(Stop::Usage(BRIEF.to_owned()));
    };
    let plan =
        Plan::parse(file, &slurp(file)?).map_err(|findings| Stop::Invalid(findings.to_string()))?;
    logs(false);
    let mut signals =
        Signals::new([SIGINT, SIGTERM]).map_err(|e| Stop::failed("can't take signals", e))?;
    let world = World::start(plan, &Clock::system());
    let _world = world.map_err(|e| Stop::failed("can't start the stand-ins", e))?;
    signals.forever().next();
    Ok(())
}
