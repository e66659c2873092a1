//! Entry point of `sassafras-entry`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasworks::cmd::main(sassafrasworks::cmd::entry::run)
}
