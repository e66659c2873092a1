//! Budget of what callers and endpoints may make the process hold, and the account of what each
//! connection holds of it.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::adapter::clock::Millis;

/// Fraction of the machine's memory that the process may use, unread bytes in the kernel included.
const MEMORY_FRACTION: f64 = 0.6;
/// Memory of the process without connections, in bytes: code, threads, configuration and lists.
const BASE_BYTES: f64 = 18.0 * MIB;
/// Minimum fraction of the memory for connections, however large the rest is.
const MIN_FRACTION: f64 = 0.2;
/// Fractions of the memory for connections that callers' and endpoints' connections may take as such:
/// unread bytes in the kernel, and the state of the connection.
const CALLERS_FRACTION: f64 = 0.45;
const LINKS_FRACTION: f64 = 0.15;
/// Fraction of the memory for connections that buffers may take. The rest covers what the allocator
/// keeps beyond the sizes that are counted.
const BUFFERS_FRACTION: f64 = 0.3;
/// Receive buffer of a caller's connection, in bytes.
pub const CALLER_RECEIVE: usize = 16 << 10;
/// Receive buffer of a connection to an endpoint, in bytes.
pub const LINK_RECEIVE: usize = 32 << 10;
/// Send buffer of any connection, in bytes.
pub const SEND_BUFFER: usize = 64 << 10;
/// Unread bytes in the kernel as a multiple of the receive buffer: the kernel takes twice the size that is
/// set, and fills it with more than that size where segments are large.
pub const UNREAD_FACTOR: usize = 2;
/// State of a connection besides its buffers, in bytes.
const CONNECTION_BYTES: usize = 4 << 10;
/// Descriptors that the platform reserves.
const RESERVED_FDS: usize = 200;
/// Descriptors for the process itself: listeners, calls to the store and between instances, readiness
/// checks.
const OWN_FDS: usize = 64;
/// Fraction of the descriptors for connections that callers may take.
const CALLERS_FDS: f64 = 0.75;
/// Minimum number of connections of either kind.
const MIN_CONNECTIONS: usize = 16;
const MIB: f64 = (1 << 20) as f64;

/// Limits derived from the memory and the descriptors of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Maximum bytes in the buffers of all connections.
    pub buffers: usize,
    /// Maximum number of callers' connections.
    pub callers: usize,
    /// Maximum number of connections to endpoints.
    pub links: usize,
}

impl Budget {
    /// Budget of a process on a machine with `memory_mb` MB and `fds` descriptors.
    pub fn new(memory_mb: f64, fds: usize) -> Self {
        let memory = memory_mb * MIB;
        let usable = (memory * MEMORY_FRACTION - BASE_BYTES).max(memory * MIN_FRACTION);
        let fds = fds.saturating_sub(RESERVED_FDS + OWN_FDS) as f64;
        let connections = |part: f64, receive: usize, fds: f64| {
            let by_memory = usable * part / (UNREAD_FACTOR * receive + CONNECTION_BYTES) as f64;
            (by_memory.min(fds) as usize).max(MIN_CONNECTIONS)
        };
        Self {
            buffers: (usable * BUFFERS_FRACTION) as usize,
            callers: connections(CALLERS_FRACTION, CALLER_RECEIVE, fds * CALLERS_FDS),
            links: connections(LINKS_FRACTION, LINK_RECEIVE, fds * (1.0 - CALLERS_FDS)),
        }
    }
}

/// What holds memory: a connection, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Holder {
    /// A caller's connection.
    Caller(usize),
    /// A connection to an endpoint.
    Link(usize),
}

/// Size from which a holder is preferred as a victim, in bytes.
const LARGE: usize = 64 << 10;

/// How a holder ranks as a victim, the first one last. Holders of one rank and about the same size go
/// by the time at which they reached it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It holds little.
    Small,
    /// It holds a complete response that the caller has yet to read.
    Complete,
    /// It holds much else.
    Large,
}

/// Place of a holder in the order of victims: rank, power of two of its size, time, holder.
type Place = (Rank, u32, Reverse<Millis>, Holder);

/// What one connection holds; kept with the connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Held {
    bytes: usize,
    place: Option<Place>,
}

/// Account of what all connections hold. Each change costs the logarithm of their number.
#[derive(Debug, Default)]
pub struct Account {
    total: usize,
    places: BTreeSet<Place>,
}

impl Account {
    /// Bytes held by all connections.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Sets what `holder` holds to `bytes`. `complete` is true if that is a complete response.
    pub fn set(
        &mut self,
        held: &mut Held,
        holder: Holder,
        bytes: usize,
        complete: bool,
        now: Millis,
    ) {
        self.total = self.total - held.bytes + bytes;
        held.bytes = bytes;
        let rank = match (bytes < LARGE, complete) {
            (true, _) => Rank::Small,
            (false, true) => Rank::Complete,
            (false, false) => Rank::Large,
        };
        let size = bytes.checked_ilog2();
        if held.place.map(|p| (p.0, p.1)) == size.map(|s| (rank, s)) {
            return;
        }
        if let Some(old) = held.place.take() {
            self.places.remove(&old);
        }
        if let Some(size) = size {
            let place = (rank, size, Reverse(now), holder);
            self.places.insert(place);
            held.place = Some(place);
        }
    }

    /// The holder that is closed first to free memory.
    pub fn victim(&self) -> Option<Holder> {
        self.places.last().map(|p| p.3)
    }
}
