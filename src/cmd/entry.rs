//! `sassafras-entry`: runs an entry instance.

use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{CliError, init_logs, parse_args, read_file};
use crate::adapter::clock::Clock;
use crate::config::Settings;
use crate::entry;

const USAGE: &str = "usage: sassafras-entry [options] SETTINGS";

/// Runs the instance until SIGINT or SIGTERM, then shuts it down gracefully.
pub fn run(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optmulti("s", "set", "override one setting", "KEY=VALUE");
    options.optflag("c", "check", "check the settings and end");
    let matches = parse_args(&mut options, USAGE, args)?;
    let [file] = matches.free.as_slice() else {
        return Err(CliError::Usage(USAGE.to_owned()));
    };
    let settings = Settings::parse(file, &read_file(file)?, &matches.opt_strs("set"))
        .map_err(|findings| CliError::Invalid(findings.to_string()))?;
    if matches.opt_present("check") {
        println!("{file}: ok");
        return Ok(());
    }
    init_logs(settings.json);
    let mut signals = Signals::new([SIGINT, SIGTERM])
        .map_err(|e| CliError::failed("can't install signal handlers", e))?;
    let listen = settings.listen;
    let entry = entry::Entry::new(settings, Clock::system());
    let server =
        entry.start().map_err(|e| CliError::failed(&format!("can't serve on {listen}"), e))?;
    signals.forever().next();
    entry.shutdown(&server);
    Ok(())
}
