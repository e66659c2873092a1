//! Entry point of `sassafras-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasworks::cmd::main(sassafrasworks::cmd::load::run)
}
