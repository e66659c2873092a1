//! Instance list that shows each change only after a lag.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{send_json, serve};
use crate::adapter::clock::{Clock, Millis};
use crate::adapter::list::{Instance, Phase};
use crate::adapter::serve::Server;

#[derive(Debug)]
struct Change {
    at: Millis,
    list: Vec<Instance>,
}

#[derive(Debug)]
struct State {
    current: Vec<Instance>,
    shown: Vec<Instance>,
    pending: Vec<Change>,
    lag: u64,
    down: bool,
}

/// The stand-in list.
pub struct ListStandin {
    state: Mutex<State>,
    clock: Clock,
}

impl ListStandin {
    /// A list that lags by `lag` milliseconds; `initial` is shown from the start.
    pub fn new(clock: Clock, lag: u64, initial: Vec<Instance>) -> Arc<Self> {
        let state = State {
            current: initial.clone(),
            shown: initial,
            pending: Vec::new(),
            lag,
            down: false,
        };
        Arc::new(Self { state: Mutex::new(state), clock })
    }

    /// Serves on `addr`.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let list = Arc::clone(self);
        serve(addr, move |_, reply| match list.shown() {
            Some(rows) => send_json(reply, 200, &serde_json::json!(rows)),
            None => send_json(reply, 503, &serde_json::json!({ "error": "the list is down" })),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the list shows now; `None` while it is down.
    pub fn shown(&self) -> Option<Vec<Instance>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let due = state.pending.iter().take_while(|c| c.at + state.lag <= now).count();
        let last = state.pending.drain(..due).next_back();
        if let Some(change) = last {
            state.shown = change.list;
        }
        (!state.down).then(|| state.shown.clone())
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<Instance>)) {
        let at = self.clock.now();
        let mut state = self.lock();
        edit(&mut state.current);
        let list = state.current.clone();
        state.pending.push(Change { at, list });
    }

    /// Adds an instance.
    pub fn add(&self, instance: Instance) {
        self.change(|list| {
            list.retain(|i| i.name != instance.name);
            list.push(instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.change(|list| list.retain(|i| i.name != name));
    }

    /// Sets the phase of an instance; false when there is none of that name.
    pub fn set_phase(&self, name: &str, phase: Phase) -> bool {
        let mut found = false;
        self.change(|list| {
            for i in list.iter_mut().filter(|i| i.name == name) {
                i.phase = phase;
                found = true;
            }
        });
        found
    }

    /// Sets the lag in milliseconds.
    pub fn set_lag(&self, ms: u64) {
        self.lock().lag = ms;
    }

    /// Takes the list down or up.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }
}
