//! `release`: lets a quarantined content run again.

use std::net::SocketAddr;

use super::{Stop, argument, client, entries, options};

const BRIEF: &str = "usage: sassafras-ctl release CONTENT --entry IP:PORT --who NAME";

pub(super) struct Release {
    content: String,
    who: String,
    entry: SocketAddr,
}

impl Release {
    pub(super) fn new(args: &[String]) -> Result<Self, Stop> {
        let matches = options(BRIEF, args, |o| {
            o.optopt("w", "who", "operator who releases it", "NAME");
        })?;
        let who =
            matches.opt_str("who").ok_or_else(|| Stop::Usage("--who is missing".to_owned()))?;
        if !who.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.@".contains(&b)) {
            return Err(Stop::Usage("--who takes letters, digits and -_.@".to_owned()));
        }
        Ok(Self { content: argument(&matches, BRIEF)?, who, entry: entries(&matches)?[0] })
    }

    pub(super) fn run(self) -> Result<(), Stop> {
        let url =
            format!("http://{}/release?content={}&who={}", self.entry, self.content, self.who);
        client().post(&url, &[]).map_err(|e| Stop::failed("can't release", e))?;
        println!("released: {}", self.content);
        Ok(())
    }
}
