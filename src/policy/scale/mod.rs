//! Scaling: decides how many endpoints of each kind a service orders in each failure domain.
//!
//! A base of regular endpoints serves the most urgent class when all reclaimable ones are reclaimed;
//! reclaimable ones serve the rest, with headroom for bursts. `docs/design/scaling.md` has the
//! reasons. Nothing here does I/O: the holder of the duty carries out the orders.

mod demand;
mod fit;
mod line;
mod need;
mod scaler;
mod split;

use indexmap::IndexMap;

pub use demand::{ClassFigures, Demand, Meter, ServiceDemand, ServiceFigures, Stock};
pub use scaler::{Inputs, Planned, Reason, Scaler};

closed! {
    /// Kind of an endpoint by how it is paid for.
    pub enum Supply {
        /// Stays until it is given up.
        Regular,
        /// Costs less, and may be reclaimed together with all others of its failure domain.
        Reclaimable,
    }

    /// What became of an order.
    pub enum Outcome {
        /// Carried out.
        Accepted,
        /// Not carried out: none is available there at the moment.
        Unavailable,
        /// Not carried out: too many calls.
        Limited,
        /// No answer: it may have been carried out, or may be later.
        Unknown,
    }
}

impl Supply {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Regular, Self::Reclaimable];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Regular => "regular",
            Self::Reclaimable => "reclaimable",
        }
    }
}

impl Outcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unavailable => "unavailable",
            Self::Limited => "limited",
            Self::Unknown => "unknown",
        }
    }
}

data! {
    /// Sets the number of endpoints of one kind that a service has in a failure domain.
    #[derive(Eq)]
    pub struct Order {
        /// Name of the service.
        pub service: String,
        /// Failure domain.
        pub domain: String,
        /// Kind of the endpoints.
        pub kind: Supply,
        /// Number of endpoints of this kind.
        pub desired: u32,
    }
}

/// Rules by which endpoints of a service may be ordered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scaling {
    /// Minimum endpoints in a failure domain, both kinds together.
    pub min: u32,
    /// Maximum endpoints in a failure domain, both kinds together.
    pub max: u32,
    /// Time from an order until an endpoint serves, in milliseconds.
    pub boot: u64,
    /// Price of a reclaimable endpoint as a fraction of that of a regular one; `None` if only
    /// regular ones can be ordered.
    pub reclaimable_price: Option<f64>,
    /// Price of an endpoint by failure domain.
    pub prices: IndexMap<String, f64>,
}
