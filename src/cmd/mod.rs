//! The command-line programs. Each parses its arguments and runs; an error sets the exit code.

pub mod ctl;
pub mod entry;
pub mod load;
pub mod standin;

use std::fmt::Display;
use std::io::IsTerminal;
use std::process::ExitCode;

use getopts::{Matches, Options};
use tracing_subscriber::EnvFilter;

/// Error of a program, or its help text. Each variant has its own exit code.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line is invalid; exit code 2.
    #[error("{0}")]
    Usage(String),
    /// An input is invalid; exit code 3.
    #[error("{0}")]
    Invalid(String),
    /// The operation failed; exit code 1.
    #[error("{0}")]
    Failed(String),
    /// Another operator's change came first; exit code 4.
    #[error("{0}")]
    Conflict(String),
    /// The outcome is unknown; exit code 5.
    #[error("{0}")]
    Unknown(String),
    /// Help was requested; exit code 0.
    #[error("{0}")]
    Help(String),
}

impl CliError {
    /// A [`CliError::Failed`] with the message of `e`, prefixed by `context`.
    pub fn failed(context: &str, e: impl Display) -> Self {
        Self::Failed(format!("{context}: {e}"))
    }

    fn exit_code(&self) -> u8 {
        match self {
            Self::Help(_) => 0,
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Invalid(_) => 3,
            Self::Conflict(_) => 4,
            Self::Unknown(_) => 5,
        }
    }
}

/// Runs a program with the arguments of the process, prints its error and returns its exit code.
pub fn main(run: fn(&[String]) -> Result<(), CliError>) -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Parses the arguments. Adds `--help`, which shows `usage` and the options.
pub fn parse_args(
    options: &mut Options,
    usage: &str,
    args: &[String],
) -> Result<Matches, CliError> {
    options.optflag("h", "help", "show this text");
    let matches = options.parse(args).map_err(|e| CliError::Usage(format!("{e}\n{usage}")))?;
    if matches.opt_present("help") {
        return Err(CliError::Help(options.usage(usage)));
    }
    Ok(matches)
}

/// Reads a file as UTF-8 text.
pub fn read_file(path: &str) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|e| CliError::failed(&format!("can't read {path}"), e))
}

/// Starts logging to standard error, as JSON if `json` is set. The default level is `info`;
/// `RUST_LOG` overrides it.
pub(crate) fn init_logs(json: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false);
    let result = if json { builder.json().try_init() } else { builder.try_init() };
    if let Err(e) = result {
        eprintln!("logs can't be started: {e}");
    }
}
