//! `release`: releases the content of a request from quarantine.

use std::net::SocketAddr;

use super::{CliError, argument, client, entry_addrs, parse_command};

const USAGE: &str = "usage: sassafras-ctl release CONTENT --entry IP:PORT --who NAME";

pub(super) struct Release {
    content: String,
    who: String,
    entry: SocketAddr,
}

impl Release {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        let matches = parse_command(USAGE, args, |o| {
            o.optopt("w", "who", "operator who releases it", "NAME");
        })?;
        let who =
            matches.opt_str("who").ok_or_else(|| CliError::Usage("--who is missing".to_owned()))?;
        if !who.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.@".contains(&b)) {
            return Err(CliError::Usage("--who takes letters, digits and -_.@".to_owned()));
        }
        Ok(Self { content: argument(&matches, USAGE)?, who, entry: entry_addrs(&matches)?[0] })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let url =
            format!("http://{}/release?content={}&who={}", self.entry, self.content, self.who);
        client().post(&url, &[]).map_err(|e| CliError::failed("can't release the content", e))?;
        println!("released: {}", self.content);
        Ok(())
    }
}
