//! `sassafras-load`: runs the demo, compares policies on the model, and generates open-loop load.

use getopts::{Matches, Options};

use super::{CliError, parse_args, read_file};
use crate::config::FleetConfig;
use crate::load::demo::Demo;
use crate::load::model;
use crate::load::open::{self, Target};
use crate::load::scenario::Scenario;

const USAGE: &str = "usage: sassafras-load COMMAND [options]

commands:
  demo                          the demo's steps against examples/standin.ini
  model SCENARIO                compare policies on the model, on equal draws
  run SCENARIO                  open-loop load on running instances
  keys                          bookings with keys at one rate, and what claims cost
";

/// Runs the command given in the arguments.
pub fn run(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("c", "control", "control address of the stand-ins", "IP:PORT");
    options.optopt("f", "fleet", "configuration with the classes", "FILE");
    options.optopt("s", "seed", "seed in place of the scenario's", "N");
    options.optopt("n", "instances", "instances in place of the scenario's", "N");
    options.optflag("b", "brief", "totals and attainment only");
    options.optmulti("e", "entry", "caller address of an instance; may be repeated", "IP:PORT");
    options.optopt("r", "rate", "bookings a second", "N");
    options.optopt("t", "seconds", "length of the bookings", "N");
    options.optflag("", "bare", "send bookings without keys");
    let matches = parse_args(&mut options, USAGE, args)?;
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["demo"] => {
            let control = opt_value::<std::net::SocketAddr>(&matches, "control")?;
            let control = control.unwrap_or_else(|| ([127, 0, 0, 1], 17_000).into());
            Demo::new(control).run().map_err(CliError::Failed)
        }
        ["model", file] => compare_policies(&matches, file),
        ["run", file] => {
            let (scenario, fleet) = load_scenario(&matches, file)?;
            let tally = open::run(&scenario, &fleet, &target(&matches)?);
            println!("{}\n{}", tally.summary(), tally.table());
            Ok(())
        }
        ["keys"] => keys(&matches),
        _ => Err(CliError::Usage(USAGE.to_owned())),
    }
}

/// Target of the load: the instances given by `--entry`, with the tokens of the example
/// configuration.
fn target(matches: &Matches) -> Result<Target, CliError> {
    let parse =
        |text: String| text.parse().map_err(|e| CliError::Usage(format!("--entry {text}: {e}")));
    let entries: Vec<std::net::SocketAddr> =
        matches.opt_strs("entry").into_iter().map(parse).collect::<Result<_, _>>()?;
    if entries.is_empty() {
        return Err(CliError::Usage("--entry is missing".to_owned()));
    }
    let control = opt_value(matches, "control")?.unwrap_or_else(|| ([127, 0, 0, 1], 17_000).into());
    let token = |w: &str| (w.to_owned(), format!("{w}-secret"));
    let tokens = ["recife", "olinda", "praha", "brno"].map(token).into();
    Ok(Target { entries, control, tokens })
}

/// Sends bookings at a fixed rate and prints the cost of their claims.
fn keys(matches: &Matches) -> Result<(), CliError> {
    let rate = opt_value(matches, "rate")?.unwrap_or(10);
    let seconds = opt_value(matches, "seconds")?.unwrap_or(10);
    let cost = open::run_bookings(&target(matches)?, rate, seconds, matches.opt_present("bare"));
    println!(
        "rate {rate}: {} of {} good, {:.2} appends each, p50 {} ms, p95 {} ms, p99 {} ms",
        cost.succeeded,
        cost.sent,
        cost.appends as f64 / cost.sent.max(1) as f64,
        cost.latencies.value_at_quantile(0.5),
        cost.latencies.value_at_quantile(0.95),
        cost.latencies.value_at_quantile(0.99)
    );
    Ok(())
}

/// Parses the value of an option; `None` if it is not given.
fn opt_value<T: std::str::FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, CliError>
where
    T::Err: std::fmt::Display,
{
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    text.parse().map(Some).map_err(|e| CliError::Usage(format!("--{name} {text}: {e}")))
}

/// Loads the configuration and the scenario; options override the seed and the instances.
fn load_scenario(matches: &Matches, file: &str) -> Result<(Scenario, FleetConfig), CliError> {
    let path = matches.opt_str("fleet").unwrap_or_else(|| "examples/fleet.ini".to_owned());
    let invalid = |findings: crate::config::Findings| CliError::Invalid(findings.to_string());
    let fleet = FleetConfig::parse(&path, &read_file(&path)?).map_err(invalid)?;
    let mut scenario = Scenario::parse(file, &read_file(file)?, &fleet).map_err(invalid)?;
    scenario.seed = opt_value(matches, "seed")?.unwrap_or(scenario.seed);
    scenario.instances = opt_value(matches, "instances")?.unwrap_or(scenario.instances);
    Ok((scenario, fleet))
}

/// Runs the scenario on the model with each policy and prints the results.
fn compare_policies(matches: &Matches, file: &str) -> Result<(), CliError> {
    let (scenario, fleet) = load_scenario(matches, file)?;
    for (name, tally) in model::compare(&scenario, &fleet) {
        println!("{name}: {}", tally.summary());
        if matches.opt_present("brief") {
            let attainment = |c: &String| format!("{c} {:.1}%", 100.0 * tally.attainment(c));
            let list: Vec<String> = tally.classes.keys().map(attainment).collect();
            println!("  met: {}", list.join(", "));
        } else {
            println!("{}", tally.table());
        }
    }
    Ok(())
}
