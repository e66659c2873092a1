//! `publish`: appends a configuration to the log and reads its outcome from the log.

use std::time::{Duration, Instant};

use getopts::Matches;
use uuid::Uuid;

use super::{CliError, addr, argument, parse_command, replay_config, wait_for_records};
use crate::adapter::clock::Clock;
use crate::adapter::codec;
use crate::adapter::log::LogClient;
use crate::cmd::read_file;
use crate::config::{FleetConfig, diff};
use crate::fleet::config::{self, Decision, Outcome, Record};

const USAGE: &str = "usage: sassafras-ctl publish FILE --log IP:PORT [--wait SECONDS]";
/// Pause before a failed append is retried, in milliseconds.
const RETRY_PAUSE: u64 = 200;
/// Default time to wait for the outcome, in seconds.
const DEFAULT_WAIT: u64 = 10;

pub(super) struct Publish {
    file: String,
    log: LogClient,
    wait: Duration,
    id: Uuid,
}

impl Publish {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        let matches = parse_command(USAGE, args, |o| {
            o.optopt("w", "wait", "how long to look for the outcome", "SECONDS");
            o.optopt("i", "id", "identity of a publication that is tried again", "UUID");
        })?;
        let file = argument(&matches, USAGE)?;
        let log = LogClient::new(addr(&matches, "log")?);
        let wait = opt_value(&matches, "wait")?.unwrap_or(DEFAULT_WAIT);
        let id = match matches.opt_str("id") {
            Some(text) => text.parse().map_err(|e| CliError::Usage(format!("--id {text}: {e}")))?,
            None => Uuid::new_v4(),
        };
        Ok(Self { file, log, wait: Duration::from_secs(wait), id })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let text = read_file(&self.file)?;
        let fleet =
            FleetConfig::parse(&self.file, &text).map_err(|f| CliError::Invalid(f.to_string()))?;
        let publish = config::Publish {
            id: self.id,
            base: fleet.meta.base,
            author: fleet.meta.author.clone(),
            text,
        };
        let bytes = codec::pack(&Record::Publish(publish));
        let deadline = Instant::now() + self.wait;
        let mut no_effect = true;
        // Retrying the append is idempotent: records with the same id count once.
        while let Err(e) = self.log.append(config::STREAM, &bytes) {
            no_effect &= e.had_no_effect();
            if Instant::now() >= deadline {
                return Err(self.timeout_error(no_effect, &e.to_string()));
            }
            if let Some(result) = self.find_result() {
                return result.report();
            }
            Clock::system().sleep(RETRY_PAUSE);
        }
        loop {
            if let Some(result) = self.find_result() {
                return result.report();
            }
            if Instant::now() >= deadline {
                return Err(self.timeout_error(false, "no decision found in the log"));
            }
        }
    }

    /// Looks for this publication in the log; if it is missing, waits for new records and returns
    /// `None`.
    fn find_result(&self) -> Option<PublishResult> {
        let (fold, decisions) = replay_config(&self.log).ok()?;
        let Some(decision) = decisions.into_iter().find(|d| d.publish.id == self.id) else {
            wait_for_records(&self.log, fold.next()).ok();
            return None;
        };
        let in_force = fold.current().map_or(String::new(), |c| c.text.to_string());
        Some(PublishResult { decision, in_force })
    }

    /// The error when no outcome was found in time. `no_effect` is true if no append can have taken
    /// effect.
    fn timeout_error(&self, no_effect: bool, why: &str) -> CliError {
        if no_effect {
            return CliError::Failed(format!("not published: {why}"));
        }
        CliError::Unknown(format!("outcome unknown: {why}; try again with --id {}", self.id))
    }
}

/// Parses the value of a numeric option; `None` if it is not given.
fn opt_value(matches: &Matches, name: &str) -> Result<Option<u64>, CliError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|e| CliError::Usage(format!("--{name} {text}: {e}")))
}

/// Decision on this publication, and the document now in force.
struct PublishResult {
    decision: Decision,
    in_force: String,
}

impl PublishResult {
    fn report(&self) -> Result<(), CliError> {
        let decision = &self.decision;
        match &decision.outcome {
            Outcome::Accepted { version } => {
                println!("published: version {version} at offset {}", decision.offset);
                Ok(())
            }
            Outcome::Conflict { version, author } => {
                let mut text = format!(
                    "conflict with version {version} by {author}: this was edited from version \
                     {}; run `show`, repeat the edit and publish again",
                    decision.publish.base
                );
                let changes = diff(&decision.publish.text, &self.in_force);
                changes.iter().for_each(|c| text.push_str(&format!("\n  in force: {c}")));
                Err(CliError::Conflict(text))
            }
            Outcome::Invalid { findings } => Err(CliError::Invalid(findings.clone())),
        }
    }
}
