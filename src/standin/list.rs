//! Stand-in for the instance list of the platform. Each change becomes visible only after a delay.

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
    /// The whole list after the change.
    list: Vec<Instance>,
}

#[derive(Debug)]
struct State {
    /// The list with all changes.
    current: Vec<Instance>,
    /// The list with the changes that are visible.
    shown: Vec<Instance>,
    /// Changes that are not visible yet, oldest first.
    pending: Vec<Change>,
    /// Delay until a change becomes visible, in milliseconds.
    lag: u64,
    down: bool,
}

/// A stand-in instance list.
pub struct ListStandin {
    state: Mutex<State>,
    clock: Clock,
}

impl ListStandin {
    /// A list in which changes become visible after `lag` milliseconds. `initial` is visible from
    /// the start.
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

    /// Serves the visible list on `addr`, at any path.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        let list = Arc::clone(self);
        serve(addr, move |_, writer| match list.shown() {
            Some(rows) => send_json(writer, 200, &serde_json::json!(rows)),
            None => send_json(writer, 503, &serde_json::json!({ "error": "the list is down" })),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The list that is visible now; `None` while the list is down.
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

    /// Applies a change that becomes visible after the lag.
    fn change(&self, edit: impl FnOnce(&mut Vec<Instance>)) {
        let at = self.clock.now();
        let mut state = self.lock();
        edit(&mut state.current);
        let list = state.current.clone();
        state.pending.push(Change { at, list });
    }

    /// Adds an instance, or replaces the one of the same name.
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

    /// Sets the phase of an instance. Returns false if there is none of that name.
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

    /// Sets the delay until a change becomes visible, in milliseconds. It also applies to pending
    /// changes.
    pub fn set_lag(&self, ms: u64) {
        self.lock().lag = ms;
    }

    /// Sets whether the list is down: it then answers requests with status 503.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }
}
