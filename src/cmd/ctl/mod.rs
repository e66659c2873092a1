//! `sassafras-ctl`: the operators' command line, one file for each subcommand.

mod audit;
mod check;
mod explain;
mod publish;
mod release;
mod show;
mod status;

use std::net::SocketAddr;

use getopts::{Matches, Options};

use super::{Stop, parse};
use crate::adapter::codec;
use crate::adapter::http::{CallError, Client};
use crate::adapter::log::{LogClient, READ_WAIT};
use crate::fleet::config::{self, Decision, Fold, Record};

const BRIEF: &str = "usage: sassafras-ctl COMMAND [options]

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

/// Longest wait for an instance, in milliseconds.
const LIMIT: u64 = 2_000;

/// Runs the subcommand that the command line names.
pub fn run(args: &[String]) -> Result<(), Stop> {
    let Some((command, rest)) = args.split_first() else {
        return Err(Stop::Usage(BRIEF.to_owned()));
    };
    match command.as_str() {
        "check" => check::Check::new(rest)?.run(),
        "show" => show::Show::new(rest)?.run(),
        "publish" => publish::Publish::new(rest)?.run(),
        "audit" => audit::Audit::new(rest)?.run(),
        "status" => status::Status::new(rest)?.run(),
        "explain" => explain::Explain::new(rest)?.run(),
        "release" => release::Release::new(rest)?.run(),
        "-h" | "--help" | "help" => Err(Stop::Help(BRIEF.to_owned())),
        other => Err(Stop::Usage(format!("no command is called `{other}`\n{BRIEF}"))),
    }
}

/// Parses the options of a subcommand; `--log` and `--entry` are shared by most.
fn options(brief: &str, args: &[String], more: impl Fn(&mut Options)) -> Result<Matches, Stop> {
    let mut options = Options::new();
    options.optopt("l", "log", "address of the log service", "IP:PORT");
    options.optmulti("e", "entry", "admin address of an instance; may be repeated", "IP:PORT");
    more(&mut options);
    parse(&mut options, brief, args)
}

fn addr(matches: &Matches, name: &str) -> Result<SocketAddr, Stop> {
    let text = matches.opt_str(name).ok_or_else(|| Stop::Usage(format!("--{name} is missing")))?;
    text.parse().map_err(|e| Stop::Usage(format!("--{name} {text}: {e}")))
}

fn entries(matches: &Matches) -> Result<Vec<SocketAddr>, Stop> {
    let list = matches.opt_strs("entry");
    if list.is_empty() {
        return Err(Stop::Usage("--entry is missing".to_owned()));
    }
    let parse =
        |text: &String| text.parse().map_err(|e| Stop::Usage(format!("--entry {text}: {e}")));
    list.iter().map(parse).collect()
}

fn client() -> Client {
    Client::new(LIMIT)
}

/// The one free argument of a subcommand.
fn argument(matches: &Matches, brief: &str) -> Result<String, Stop> {
    match matches.free.as_slice() {
        [one] => Ok(one.clone()),
        _ => Err(Stop::Usage(brief.to_owned())),
    }
}

/// Reads the whole configuration stream; returns its fold and what was decided.
fn fold(log: &LogClient) -> Result<(Fold, Vec<Decision>), CallError> {
    let mut fold = Fold::default();
    let mut decided = Vec::new();
    loop {
        let page = log.read(config::STREAM, fold.next(), 0)?;
        fold.set_oldest(page.oldest);
        for record in &page.records {
            if let Ok(r) = codec::unpack::<Record>(&record.data) {
                decided.extend(fold.apply(record.offset, record.at, r));
            }
        }
        if fold.next() >= page.next {
            return Ok((fold, decided));
        }
    }
}

/// Waits for new records of the configuration stream.
fn await_more(log: &LogClient, from: u64) -> Result<(), CallError> {
    log.read(config::STREAM, from, READ_WAIT).map(drop)
}
