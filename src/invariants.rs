//! Counter of invariant violations, reported by the metrics page.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts and logs one violation. Panics in builds with debug assertions, so that tests fail.
pub fn record_violation(what: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    tracing::error!("invariant: violated: {what}");
    if cfg!(debug_assertions) {
        eprintln!("invariant: violated: {what}");
        panic!("invariant violated: {what}");
    }
}

/// Number of violations since the process started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
