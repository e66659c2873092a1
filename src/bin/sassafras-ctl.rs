//! Entry point of `sassafras-ctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasworks::cmd::main(sassafrasworks::cmd::ctl::run)
}
