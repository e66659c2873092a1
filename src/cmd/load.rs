//! `sassafras-load`: the demo's steps, and open-loop load with a report by class.

use getopts::Options;

use super::{Stop, parse};
use crate::load::demo::Demo;

const BRIEF: &str = "usage: sassafras-load demo --control IP:PORT";

/// Runs what the command line names.
pub fn run(args: &[String]) -> Result<(), Stop> {
    let mut options = Options::new();
    options.optopt("c", "control", "control address of the stand-ins", "IP:PORT");
    let matches = parse(&mut options, BRIEF, args)?;
    let control = matches.opt_str("control").unwrap_or_else(|| "127.0.0.1:17000".to_owned());
    let control = control.parse().map_err(|e| Stop::Usage(format!("--control: {e}")))?;
    match matches.free.first().map(String::as_str) {
        Some("demo") => Demo::new(control).run().map_err(Stop::Failed),
        _ => Err(Stop::Usage(BRIEF.to_owned())),
    }
}
