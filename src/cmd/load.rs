//! `sassafras-load`: the demo's steps, experiments on the model, and open-loop load.

use getopts::{Matches, Options};

use super::{Stop, parse, slurp};
use crate::config::Fleet;
use crate::load::demo::Demo;
use crate::load::model;
use crate::load::scenario::Scenario;

const BRIEF: &str = "usage: sassafras-load COMMAND [options]

commands:
  demo                          the demo's steps against examples/standin.ini
  model SCENARIO                compare policies on the model, on equal draws
";

/// Runs what the command line names.
pub fn run(args: &[String]) -> Result<(), Stop> {
    let mut options = Options::new();
    options.optopt("c", "control", "control address of the stand-ins", "IP:PORT");
    options.optopt("f", "fleet", "configuration with the classes", "FILE");
    options.optopt("s", "seed", "seed in place of the scenario's", "N");
    options.optopt("n", "instances", "instances in place of the scenario's", "N");
    options.optflag("b", "brief", "totals and attainment only");
    let matches = parse(&mut options, BRIEF, args)?;
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["demo"] => {
            let control = number::<std::net::SocketAddr>(&matches, "control")?;
            let control = control.unwrap_or_else(|| ([127, 0, 0, 1], 17_000).into());
            Demo::new(control).run().map_err(Stop::Failed)
        }
        ["model", file] => compare(&matches, file),
        _ => Err(Stop::Usage(BRIEF.to_owned())),
    }
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Stop>
where
    T::Err: std::fmt::Display,
{
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    text.parse().map(Some).map_err(|e| Stop::Usage(format!("--{name} {text}: {e}")))
}

fn scenario(matches: &Matches, file: &str) -> Result<(Scenario, Fleet), Stop> {
    let path = matches.opt_str("fleet").unwrap_or_else(|| "examples/fleet.ini".to_owned());
    let invalid = |findings: crate::config::Findings| Stop::Invalid(findings.to_string());
    let fleet = Fleet::parse(&path, &slurp(&path)?).map_err(invalid)?;
    let mut scenario = Scenario::parse(file, &slurp(file)?, &fleet).map_err(invalid)?;
    scenario.seed = number(matches, "seed")?.unwrap_or(scenario.seed);
    scenario.instances = number(matches, "instances")?.unwrap_or(scenario.instances);
    Ok((scenario, fleet))
}

fn compare(matches: &Matches, file: &str) -> Result<(), Stop> {
    let (scenario, fleet) = scenario(matches, file)?;
    for (name, tally) in model::compare(&scenario, &fleet) {
        println!("{name}: {}", tally.line());
        if matches.opt_present("brief") {
            let attained = |c: &String| format!("{c} {:.1}%", 100.0 * tally.attained(c));
            let list: Vec<String> = tally.classes.keys().map(attained).collect();
            println!("  met: {}", list.join(", "));
        } else {
            println!("{}", tally.table());
        }
    }
    Ok(())
}
