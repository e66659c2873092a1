//! The one clock of a process. Tests pause it and advance it by hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time, in milliseconds since the Unix epoch.
pub type Millis = u64;

/// Source of time. Clones share the same time.
#[derive(Debug, Clone)]
pub enum Clock {
    /// Wall clock read once at start, then carried on by the monotonic clock.
    System { start: Instant, epoch: Millis },
    /// Time that only moves by [`Clock::advance`].
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that follows the machine's time and never steps back.
    pub fn system() -> Self {
        let epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as Millis);
        Self::System { start: Instant::now(), epoch }
    }

    /// A paused clock that starts at `now`.
    pub fn manual(now: Millis) -> Self {
        Self::Manual(Arc::new(AtomicU64::new(now)))
    }

    /// Current time in milliseconds.
    pub fn now(&self) -> Millis {
        match self {
            Self::System { start, epoch } => epoch + start.elapsed().as_millis() as Millis,
            Self::Manual(now) => now.load(Ordering::SeqCst),
        }
    }

    /// Moves a manual clock forward. A system clock ignores it.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(now) = self {
            now.fetch_add(by, Ordering::SeqCst);
        }
    }

    /// Waits for `by` milliseconds; a manual clock advances instead.
    pub fn sleep(&self, by: Millis) {
        match self {
            Self::System { .. } => thread::sleep(Duration::from_millis(by)),
            Self::Manual(_) => self.advance(by),
        }
    }
}
