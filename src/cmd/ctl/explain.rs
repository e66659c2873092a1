//! `explain`: shows what was decided for a request, through any instance.

use std::net::SocketAddr;

use super::{Stop, argument, client, entries, options};
use crate::entry::trace::Trace;

const BRIEF: &str = "usage: sassafras-ctl explain REQUEST-ID --entry IP:PORT";

pub(super) struct Explain {
    id: String,
    entry: SocketAddr,
}

impl Explain {
    pub(super) fn new(args: &[String]) -> Result<Self, Stop> {
        let matches = options(BRIEF, args, |_| {})?;
        Ok(Self { id: argument(&matches, BRIEF)?, entry: entries(&matches)?[0] })
    }

    pub(super) fn run(self) -> Result<(), Stop> {
        let url = format!("http://{}/explain/{}", self.entry, self.id);
        let trace: Trace = client()
            .get_json(&url)
            .map_err(|e| Stop::failed(&format!("can't explain {}", self.id), e))?;
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
