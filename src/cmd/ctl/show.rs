//! `show`: prints the configuration in force, with its version as the base of the next edit.

use getopts::Matches;

use super::{CliError, addr, client, entry_addrs, parse_command, replay_config};
use crate::adapter::log::LogClient;
use crate::config::ini;

const USAGE: &str = "usage: sassafras-ctl show (--log IP:PORT | --entry IP:PORT)";

pub(super) struct Show {
    matches: Matches,
}

impl Show {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        Ok(Self { matches: parse_command(USAGE, args, |_| {})? })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let (version, text) = if self.matches.opt_present("log") {
            self.read_from_log()?
        } else {
            self.fetch_from_entry()?
        };
        print!("{}", rebase(&text, version));
        Ok(())
    }

    fn read_from_log(&self) -> Result<(u64, String), CliError> {
        let log = LogClient::new(addr(&self.matches, "log")?);
        let (fold, _) =
            replay_config(&log).map_err(|e| CliError::failed("can't read the log", e))?;
        let none = || CliError::Failed("no configuration in force in the log".to_owned());
        let current = fold.current().ok_or_else(none)?;
        Ok((current.version, current.text.to_string()))
    }

    fn fetch_from_entry(&self) -> Result<(u64, String), CliError> {
        let entry = entry_addrs(&self.matches)?[0];
        let value: serde_json::Value = client()
            .get_json(&format!("http://{entry}/config"))
            .map_err(|e| CliError::failed(&format!("can't read config from {entry}"), e))?;
        let version = value["version"].as_u64().unwrap_or(0);
        Ok((version, value["text"].as_str().unwrap_or("").to_owned()))
    }
}

/// Returns the document with `base` set to `version`, as the next edit requires it.
pub(super) fn rebase(text: &str, version: u64) -> String {
    let mut out = String::new();
    let mut findings = crate::config::Findings::new("");
    let sections = ini::parse(text, &mut findings);
    let meta = sections.iter().find(|s| s.kind == "fleet");
    let base = meta.and_then(|s| s.pairs.get("base")).map_or(0, |v| v.line);
    let head = meta.map_or(0, |s| s.line);
    for (i, line) in text.lines().enumerate() {
        if i + 1 == base {
            out.push_str(&format!("base = {version}\n"));
            continue;
        }
        out.push_str(line);
        out.push('\n');
        if base == 0 && i + 1 == head {
            out.push_str(&format!("base = {version}\n"));
        }
    }
    out
}
