//! Configuration of the fleet, shared by all instances, and settings of one process.

pub mod diff;
pub mod findings;
pub mod fleet;
pub mod ini;
mod read;
pub mod settings;

pub use diff::diff;
pub use findings::{Finding, Findings};
pub use fleet::{Class, FleetConfig, Kind, Params, Service, Workspace};
pub use settings::{Settings, Strategy};
