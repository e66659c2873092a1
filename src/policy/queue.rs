//! Queued requests of one service on one instance.

use indexmap::IndexMap;

use super::{Job, JobId};
use crate::adapter::clock::Millis;
use crate::mechanism::{self, Mechanism};

/// Jobs by class, each class in order of arrival.
#[derive(Debug, Default)]
pub struct Queue {
    classes: IndexMap<String, Vec<Job>>,
}

/// Result of [`Queue::push`].
#[derive(Debug, PartialEq)]
pub enum EnqueueResult {
    /// The job was queued.
    Queued,
    /// The job was queued, and this other job of its class was removed to make room.
    Displaced(Job),
    /// The queue of its class is full; the job is handed back.
    Full(Job),
}

impl Queue {
    /// Adds a job to its class, which holds at most `bound` jobs. If the class is full, the newest
    /// job of the workspace with the most queued jobs is displaced, so that a burst displaces its
    /// own requests. Resumed jobs are never displaced. The new job is rejected if no job can be
    /// displaced, or if its own workspace would then have the most queued jobs.
    pub fn push(&mut self, job: Job, bound: u32) -> EnqueueResult {
        let list = self.classes.entry(job.class.clone()).or_default();
        if list.len() < bound as usize {
            list.push(job);
            return EnqueueResult::Queued;
        }
        let mut counts: IndexMap<&str, usize> = IndexMap::new();
        for j in list.iter() {
            *counts.entry(j.workspace.as_str()).or_default() += 1;
        }
        let own = counts.get(job.workspace.as_str()).copied().unwrap_or(0) + 1;
        let most = counts.iter().max_by_key(|(_, n)| **n).map(|(w, n)| ((*w).to_owned(), *n));
        match most {
            Some((workspace, n)) if n > own && mechanism::on(Mechanism::Displace) => {
                let at = list.iter().rposition(|j| j.workspace == workspace && !j.resumed);
                let Some(at) = at else {
                    return EnqueueResult::Full(job);
                };
                let displaced = list.remove(at);
                list.push(job);
                EnqueueResult::Displaced(displaced)
            }
            _ => EnqueueResult::Full(job),
        }
    }

    /// Number of queued jobs of a class.
    pub fn len(&self, class: &str) -> u32 {
        self.classes.get(class).map_or(0, |l| l.len() as u32)
    }

    /// Number of queued jobs of all classes.
    pub fn total(&self) -> usize {
        self.classes.values().map(Vec::len).sum()
    }

    /// Removes a job if it is still queued.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        for list in self.classes.values_mut() {
            if let Some(i) = list.iter().position(|j| j.id == id) {
                return Some(list.remove(i));
            }
        }
        None
    }

    /// Removes and returns one job for which `matches` holds.
    pub fn take_if(&mut self, matches: impl Fn(&Job) -> bool) -> Option<Job> {
        for list in self.classes.values_mut() {
            if let Some(i) = list.iter().position(&matches) {
                return Some(list.remove(i));
            }
        }
        None
    }

    /// Jobs of a class in the order in which to start them: resumed ones first, then by the number
    /// of running jobs of their workspace, lowest first. Among equals, jobs that can still meet
    /// their target come first, by target; the others follow by deadline.
    pub fn ranked(&self, class: &str, now: Millis, running: impl Fn(&str) -> u32) -> Vec<&Job> {
        let Some(list) = self.classes.get(class) else {
            return Vec::new();
        };
        let mut jobs: Vec<&Job> = list.iter().collect();
        jobs.sort_by_cached_key(|j| {
            let late = j.target < now;
            (!j.resumed, running(&j.workspace), late, if late { j.deadline } else { j.target })
        });
        jobs
    }

    /// The job of any class that arrived first.
    pub fn oldest(&self) -> Option<&Job> {
        self.classes.values().flatten().min_by_key(|j| (j.arrived, j.id))
    }

    /// Earliest target of the queued jobs of a class; the maximum time if there are none.
    pub fn earliest_target(&self, class: &str) -> Millis {
        let list = self.classes.get(class);
        list.and_then(|l| l.iter().map(|j| j.target).min()).unwrap_or(Millis::MAX)
    }

    /// Arrival time of the oldest queued job of a class.
    pub fn oldest_arrival(&self, class: &str) -> Option<Millis> {
        self.classes.get(class).and_then(|l| l.iter().map(|j| j.arrived).min())
    }
}
