//! `explain`: shows the decisions made for a request. Any instance can be asked.

use std::net::SocketAddr;

use super::{CliError, argument, client, entry_addrs, parse_command};
use crate::entry::trace::Trace;

const USAGE: &str = "usage: sassafras-ctl explain REQUEST-ID --entry IP:PORT";

pub(super) struct Explain {
    id: String,
    entry: SocketAddr,
}

impl Explain {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        let matches = parse_command(USAGE, args, |_| {})?;
        Ok(Self { id: argument(&matches, USAGE)?, entry: entry_addrs(&matches)?[0] })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let url = format!("http://{}/explain/{}", self.entry, self.id);
        let trace: Trace = client()
            .get_json(&url)
            .map_err(|e| CliError::failed(&format!("can't explain {}", self.id), e))?;
        println!(
            "{}: {} after {} ms on {}",
            trace.id, trace.outcome, trace.duration, trace.instance
        );
        println!(
            "  class {}, workspace {}, service {}, configuration version {}",
            trace.class, trace.workspace, trace.service, trace.version
        );
        match trace.exceptions.as_slice() {
            [] => println!("  no exception applied"),
            names => println!("  exceptions applied: {}", names.join(", ")),
        }
        if !trace.claim.is_empty() {
            println!("  claim: {}", trace.claim);
        }
        for (i, a) in trace.attempts.iter().enumerate() {
            println!(
                "  attempt {}: {} with priority {} after {} ms in the queue, from token {}: {}",
                i + 1,
                a.endpoint,
                a.priority,
                a.waited,
                a.resume_from,
                a.outcome
            );
            for (name, cost) in &a.costs {
                println!("    weighed {name} at {cost:.3}");
            }
        }
        Ok(())
    }
}
