//! Demand on a service and its endpoints, as the event loop publishes it.

use indexmap::IndexMap;

use super::{Scaling, Supply};
use crate::adapter::clock::Millis;

/// Time constant of the rates of a [`Meter`], in milliseconds: long enough to smooth the few requests
/// of one instance, short compared with the time in which an endpoint starts.
const RATE_MS: f64 = 1_500.0;
/// Number of classes that are told apart; less urgent priorities count as the last.
const CLASSES: u8 = 10;

data! {
    /// Demand of the requests with one priority. Rates are per second.
    #[derive(Copy, Default)]
    pub struct ClassFigures {
        /// Priority of the route; 0 is the most urgent.
        pub priority: u8,
        /// Requests that arrived.
        pub arrived: f32,
        /// Requests that were sent to an endpoint.
        pub started: f32,
        /// Prompt tokens of those that the endpoint had to compute.
        pub prefill: f32,
        /// First events and plain responses within their target.
        pub timely: f32,
        /// Those after their target, and requests refused for want of capacity.
        pub late: f32,
        /// Requests at endpoints.
        pub running: u32,
        /// Requests in queues.
        pub waiting: u32,
    }

    /// Demand on a service as seen by a number of instances.
    #[derive(Default)]
    pub struct ServiceFigures {
        /// Instances whose figures are included.
        pub instances: u32,
        /// Figures by class, in no particular order.
        pub classes: Vec<ClassFigures>,
    }
}

impl ServiceFigures {
    /// Adds the figures of other instances.
    pub fn merge(&mut self, other: &Self) {
        self.instances = self.instances.saturating_add(other.instances);
        for class in other.classes.iter().take(usize::from(CLASSES)) {
            let known = self.classes.iter().position(|c| c.priority == class.priority);
            match known {
                Some(i) => self.classes[i].add(class),
                None if self.classes.len() < usize::from(CLASSES) => self.classes.push(*class),
                None => {}
            }
        }
    }
}

impl ClassFigures {
    fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.started += other.started;
        self.prefill += other.prefill;
        self.timely += other.timely;
        self.late += other.late;
        self.running = self.running.saturating_add(other.running);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }
}

/// Rates of one instance's requests for a service, by class.
#[derive(Debug, Default)]
pub struct Meter {
    updated_at: Millis,
    classes: IndexMap<u8, ClassFigures>,
}

impl Meter {
    /// Counts a request that has arrived.
    pub fn record_arrival(&mut self, now: Millis, priority: u8) {
        self.class(now, priority).arrived += (1_000.0 / RATE_MS) as f32;
    }

    /// Counts a request that was sent to an endpoint, which has to compute `tokens` prompt tokens.
    pub fn record_start(&mut self, now: Millis, priority: u8, tokens: u32) {
        let class = self.class(now, priority);
        class.started += (1_000.0 / RATE_MS) as f32;
        class.prefill += (f64::from(tokens) * 1_000.0 / RATE_MS) as f32;
    }

    /// Counts a first event or a refusal for want of capacity.
    pub fn record_first(&mut self, now: Millis, priority: u8, timely: bool) {
        let class = self.class(now, priority);
        let rate = if timely { &mut class.timely } else { &mut class.late };
        *rate += (1_000.0 / RATE_MS) as f32;
    }

    /// The rates now, with the priorities of the requests that are running and waiting.
    pub fn figures(
        &mut self,
        now: Millis,
        running: impl Iterator<Item = u8>,
        waiting: impl Iterator<Item = u8>,
    ) -> ServiceFigures {
        self.decay(now);
        self.classes.values_mut().for_each(|c| (c.running, c.waiting) = (0, 0));
        running.for_each(|p| self.class(now, p).running += 1);
        waiting.for_each(|p| self.class(now, p).waiting += 1);
        ServiceFigures { instances: 1, classes: self.classes.values().copied().collect() }
    }

    fn class(&mut self, now: Millis, priority: u8) -> &mut ClassFigures {
        self.decay(now);
        let priority = priority.min(CLASSES - 1);
        let new = ClassFigures { priority, ..ClassFigures::default() };
        self.classes.entry(priority).or_insert(new)
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.updated_at);
        if passed == 0 {
            return;
        }
        self.updated_at = now;
        let kept = (-(passed as f64) / RATE_MS).exp() as f32;
        for class in self.classes.values_mut() {
            class.arrived *= kept;
            class.started *= kept;
            class.prefill *= kept;
            class.timely *= kept;
            class.late *= kept;
        }
    }
}

/// Endpoints of one kind in a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stock {
    /// Listed endpoints that take work.
    pub ready: u32,
    /// Listed endpoints that are leaving.
    pub leaving: u32,
    /// Time after which the first of those is gone, in milliseconds, if any states one.
    pub first_gone: Option<u64>,
}

/// Demand on a service, and what serves it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceDemand {
    /// Rules of its orders.
    pub scaling: Scaling,
    /// Figures of the fleet.
    pub figures: ServiceFigures,
    /// Requests that an endpoint runs at once.
    pub slots: f64,
    /// Prompt tokens that an endpoint computes in a second; 0 for a plain service.
    pub rate: f64,
    /// KV cache that the running requests claim, in endpoints.
    pub memory: f64,
    /// Endpoints by failure domain and kind.
    pub stock: IndexMap<(String, Supply), Stock>,
}

/// Demand on all services with scaling, as seen by one instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// Time of the figures.
    pub at: Millis,
    /// Number of instances that should be included in the figures.
    pub instances: u32,
    /// Age of the endpoint list, in milliseconds.
    pub list_age: u64,
    /// Services by name.
    pub services: IndexMap<String, ServiceDemand>,
}
