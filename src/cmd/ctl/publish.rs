//! `publish`: appends a configuration and finds out from the log what became of it.

use std::time::{Duration, Instant};

use getopts::Matches;
use uuid::Uuid;

use super::{Stop, addr, argument, await_more, fold, options};
use crate::adapter::clock::Clock;
use crate::adapter::codec;
use crate::adapter::log::LogClient;
use crate::cmd::slurp;
use crate::config::{Fleet, diff};
use crate::fleet::config::{self, Decision, Outcome, Record};

const BRIEF: &str = "usage: sassafras-ctl publish FILE --log IP:PORT [--wait SECONDS]";
/// Pause before a failed append is repeated, in milliseconds.
const PAUSE: u64 = 200;
/// How long to look for the outcome, in seconds.
const WAIT: u64 = 10;

pub(super) struct Publish {
    file: String,
    log: LogClient,
    wait: Duration,
    id: Uuid,
}

impl Publish {
    pub(super) fn new(args: &[String]) -> Result<Self, Stop> {
        let matches = options(BRIEF, args, |o| {
            o.optopt("w", "wait", "how long to look for the outcome", "SECONDS");
            o.optopt("i", "id", "identity of a publication that is tried again", "UUID");
        })?;
        let file = argument(&matches, BRIEF)?;
        let log = LogClient::new(addr(&matches, "log")?);
        let wait = number(&matches, "wait")?.unwrap_or(WAIT);
        let id = match matches.opt_str("id") {
            Some(text) => text.parse().map_err(|e| Stop::Usage(format!("--id {text}: {e}")))?,
            None => Uuid::new_v4(),
        };
        Ok(Self { file, log, wait: Duration::from_secs(wait), id })
    }

    pub(super) fn run(self) -> Result<(), Stop> {
        let text = slurp(&self.file)?;
        let fleet = Fleet::parse(&self.file, &text).map_err(|f| Stop::Invalid(f.to_string()))?;
        let publish = config::Publish {
            id: self.id,
            base: fleet.meta.base,
            author: fleet.meta.author.clone(),
            text,
        };
        let bytes = codec::pack(&Record::Publish(publish));
        let end = Instant::now() + self.wait;
        let mut void = true;
        // Appending again is harmless: the same id counts once.
        while let Err(e) = self.log.append(config::STREAM, &bytes) {
            void &= e.had_no_effect();
            if Instant::now() >= end {
                return Err(self.unsettled(void, &e.to_string()));
            }
            if let Some(found) = self.find() {
                return found.report();
            }
            Clock::system().sleep(PAUSE);
        }
        loop {
            if let Some(found) = self.find() {
                return found.report();
            }
            if Instant::now() >= end {
                return Err(self.unsettled(false, "its record was not found on the log"));
            }
        }
    }

    /// Looks for the own record on the log.
    fn find(&self) -> Option<Found> {
        let (state, decided) = fold(&self.log).ok()?;
        let Some(decided) = decided.into_iter().find(|d| d.publish.id == self.id) else {
            await_more(&self.log, state.next()).ok();
            return None;
        };
        let in_force = state.current().map_or(String::new(), |c| c.text.to_string());
        Some(Found { decided, in_force })
    }

    fn unsettled(&self, void: bool, why: &str) -> Stop {
        if void {
            return Stop::Failed(format!("not published: {why}"));
        }
        Stop::Unknown(format!("not settled: {why}; try again with --id {}", self.id))
    }
}

fn number(matches: &Matches, name: &str) -> Result<Option<u64>, Stop> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|e| Stop::Usage(format!("--{name} {text}: {e}")))
}

/// The own record as decided, and the document in force now.
struct Found {
    decided: Decision,
    in_force: String,
}

impl Found {
    fn report(&self) -> Result<(), Stop> {
        let decided = &self.decided;
        match &decided.outcome {
            Outcome::Accepted { version } => {
                println!("published: version {version} at offset {}", decided.offset);
                Ok(())
            }
            Outcome::Conflict { version, author } => {
                let mut text = format!(
                    "conflict with version {version} by {author}: this was edited from version \
                     {}; run `show`, repeat the edit and publish again",
                    decided.publish.base
                );
                let changes = diff(&decided.publish.text, &self.in_force);
                changes.iter().for_each(|c| text.push_str(&format!("\n  in force: {c}")));
                Err(Stop::Conflict(text))
            }
            Outcome::Invalid { findings } => Err(Stop::Invalid(findings.clone())),
        }
    }
}
