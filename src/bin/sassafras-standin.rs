//! Entry point of `sassafras-standin`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasworks::cmd::main(sassafrasworks::cmd::standin::run)
}
