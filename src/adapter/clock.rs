//! The clock that a whole process shares. Tests use a manual one and advance it themselves.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A point in time, in milliseconds since the Unix epoch.
pub type Millis = u64;

/// Source of time. Clones of a clock share its time.
#[derive(Debug, Clone)]
pub enum Clock {
    /// Wall-clock time at startup plus the time since then, including time for which the machine was
    /// suspended: a lease ends and a deadline passes in that time too. `start` and `epoch` are the same
    /// moment on the two clocks.
    System { start: Millis, epoch: Millis },
    /// Time that changes only through [`Clock::advance`] and [`Clock::sleep`].
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that starts at the machine's wall-clock time and never goes backwards.
    pub fn system() -> Self {
        let epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as Millis);
        Self::System { start: boot_time(), epoch }
    }

    /// A manual clock set to `now`.
    pub fn manual(now: Millis) -> Self {
        Self::Manual(Arc::new(AtomicU64::new(now)))
    }

    /// Current time in milliseconds.
    pub fn now(&self) -> Millis {
        match self {
            Self::System { start, epoch } => epoch + boot_time().saturating_sub(*start),
            Self::Manual(now) => now.load(Ordering::SeqCst),
        }
    }

    /// Moves a manual clock forward by `by` milliseconds. No effect on a system clock.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(now) = self {
            now.fetch_add(by, Ordering::SeqCst);
        }
    }

    /// Blocks the thread for `by` milliseconds; a manual clock advances and returns at once.
    pub fn sleep(&self, by: Millis) {
        match self {
            Self::System { .. } => thread::sleep(Duration::from_millis(by)),
            Self::Manual(_) => self.advance(by),
        }
    }
}

/// Time since the machine was started, in milliseconds.
fn boot_time() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Millis * 1_000 + time.tv_nsec as Millis / 1_000_000
}
