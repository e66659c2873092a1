//! `audit`: lists configuration changes and audit events of the fleet, oldest first.

use std::time::{Duration, UNIX_EPOCH};

use super::{CliError, addr, parse_command, replay_config};
use crate::adapter::clock::Millis;
use crate::adapter::codec;
use crate::adapter::log::LogClient;
use crate::config::{FleetConfig, diff};
use crate::fleet::audit;
use crate::fleet::config::{Decision, Outcome};

const USAGE: &str = "usage: sassafras-ctl audit --log IP:PORT";

pub(super) struct Audit {
    log: LogClient,
}

impl Audit {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        let matches = parse_command(USAGE, args, |_| {})?;
        Ok(Self { log: LogClient::new(addr(&matches, "log")?) })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let read_error = |e| CliError::failed("can't read the log", e);
        let (_, decisions) = replay_config(&self.log).map_err(read_error)?;
        let mut rows = config_rows(&decisions);
        let mut next = 0;
        loop {
            let page = self.log.read(audit::STREAM, next, 0).map_err(read_error)?;
            for record in &page.records {
                next = record.offset + 1;
                let batch = codec::unpack::<Vec<audit::Record>>(&record.data).unwrap_or_default();
                rows.extend(batch.iter().map(|r| (r.event().at, format_event(r.event()))));
            }
            if page.records.is_empty() {
                break;
            }
        }
        rows.sort_by_key(|(at, _)| *at);
        for (at, text) in rows {
            println!("{} {text}", format_time(at));
        }
        Ok(())
    }
}

/// One row for each publication, followed by one for each key that it changed if it was accepted.
fn config_rows(decisions: &[Decision]) -> Vec<(Millis, String)> {
    let mut rows = Vec::new();
    let mut previous = String::new();
    for d in decisions {
        let meta = FleetConfig::parse("config", &d.publish.text).ok().map(|f| f.meta);
        let (reviewer, reason) =
            meta.map_or((String::new(), String::new()), |m| (m.reviewer, m.reason));
        let outcome = match &d.outcome {
            Outcome::Accepted { version } => format!("accepted as version {version}"),
            Outcome::Conflict { version, author } => {
                format!("conflict with version {version} by {author}")
            }
            Outcome::Invalid { .. } => "invalid".to_owned(),
        };
        let text = format!(
            "config edit of version {} by {}, reviewed by {reviewer}: {outcome}: {reason}",
            d.publish.base, d.publish.author
        );
        rows.push((d.at, text));
        if matches!(d.outcome, Outcome::Accepted { .. }) {
            rows.extend(
                diff(&previous, &d.publish.text).into_iter().map(|c| (d.at, format!("  {c}"))),
            );
            previous.clone_from(&d.publish.text);
        }
    }
    rows
}

fn format_event(event: &audit::Event) -> String {
    let kind = format!("{:?}", event.kind).to_lowercase();
    format!("{} {kind} {}: {}", event.who, event.subject, event.detail)
}

fn format_time(at: Millis) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(at)).to_string()
}
