//! `sassafras-ctl`: command-line tool for operators. Each subcommand has its own module.

mod audit;
mod check;
mod explain;
mod publish;
mod release;
mod show;
mod status;

use std::net::SocketAddr;

use getopts::{Matches, Options};

use super::{CliError, parse_args};
use crate::adapter::codec;
use crate::adapter::http::{CallError, Client};
use crate::adapter::log::{LogClient, READ_WAIT};
use crate::fleet::config::{self, Decision, Fold, Record};

const USAGE: &str = "usage: sassafras-ctl COMMAND [options]

commands:
  check FILE                  validate a configuration without publishing it
  show                        print the configuration in force
  publish FILE                publish a configuration edited from the one in force
  audit                       list changes and decisions, oldest first
  status                      show every instance, its configuration and its view
  explain REQUEST-ID          show what was decided for a request
  release CONTENT             let a quarantined content run again

exit codes: 0 done, 1 failed, 2 usage, 3 invalid input, 4 conflict, 5 outcome unknown
";

/// Timeout of a call to an instance, in milliseconds.
const CALL_TIMEOUT: u64 = 2_000;
/// Largest response, in bytes.
const BODY_LIMIT: u64 = 64 << 20;

/// Runs the subcommand given in the arguments.
pub fn run(args: &[String]) -> Result<(), CliError> {
    let Some((command, rest)) = args.split_first() else {
        return Err(CliError::Usage(USAGE.to_owned()));
    };
    match command.as_str() {
        "check" => check::Check::new(rest)?.run(),
        "show" => show::Show::new(rest)?.run(),
        "publish" => publish::Publish::new(rest)?.run(),
        "audit" => audit::Audit::new(rest)?.run(),
        "status" => status::Status::new(rest)?.run(),
        "explain" => explain::Explain::new(rest)?.run(),
        "release" => release::Release::new(rest)?.run(),
        "-h" | "--help" | "help" => Err(CliError::Help(USAGE.to_owned())),
        other => Err(CliError::Usage(format!("unknown command `{other}`\n{USAGE}"))),
    }
}

/// Parses the arguments of a subcommand. Adds `--log` and `--entry`, which most subcommands use;
/// `add_options` adds further ones.
fn parse_command(
    usage: &str,
    args: &[String],
    add_options: impl Fn(&mut Options),
) -> Result<Matches, CliError> {
    let mut options = Options::new();
    options.optopt("l", "log", "address of the log service", "IP:PORT");
    options.optmulti("e", "entry", "admin address of an instance; may be repeated", "IP:PORT");
    add_options(&mut options);
    parse_args(&mut options, usage, args)
}

/// Address given by the required option `name`.
fn addr(matches: &Matches, name: &str) -> Result<SocketAddr, CliError> {
    let text =
        matches.opt_str(name).ok_or_else(|| CliError::Usage(format!("--{name} is missing")))?;
    text.parse().map_err(|e| CliError::Usage(format!("--{name} {text}: {e}")))
}

/// Admin addresses given by `--entry`; at least one is required.
fn entry_addrs(matches: &Matches) -> Result<Vec<SocketAddr>, CliError> {
    let list = matches.opt_strs("entry");
    if list.is_empty() {
        return Err(CliError::Usage("--entry is missing".to_owned()));
    }
    let parse =
        |text: &String| text.parse().map_err(|e| CliError::Usage(format!("--entry {text}: {e}")));
    list.iter().map(parse).collect()
}

fn client() -> Client {
    Client::new(CALL_TIMEOUT, BODY_LIMIT)
}

/// The single positional argument of a subcommand.
fn argument(matches: &Matches, usage: &str) -> Result<String, CliError> {
    match matches.free.as_slice() {
        [one] => Ok(one.clone()),
        _ => Err(CliError::Usage(usage.to_owned())),
    }
}

/// Reads the whole configuration stream; returns its fold and all decisions in order.
fn replay_config(log: &LogClient) -> Result<(Fold, Vec<Decision>), CallError> {
    let mut fold = Fold::default();
    let mut decisions = Vec::new();
    loop {
        let page = log.read(config::STREAM, fold.next(), 0)?;
        fold.set_oldest(page.oldest);
        for record in &page.records {
            if let Ok(r) = codec::unpack::<Record>(&record.data) {
                decisions.extend(fold.apply(record.offset, record.at, r));
            }
        }
        if fold.next() >= page.next {
            return Ok((fold, decisions));
        }
    }
}

/// Waits up to [`READ_WAIT`] for records of the configuration stream at or after offset `from`.
fn wait_for_records(log: &LogClient, from: u64) -> Result<(), CallError> {
    log.read(config::STREAM, from, READ_WAIT).map(drop)
}
