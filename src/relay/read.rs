//! Bounded reads from sockets, so that one connection with endless input can't hold up the others.

use std::io::{ErrorKind, Read};

/// Maximum bytes read from one connection in a turn of the event loop.
pub const READ_BUDGET: usize = 64 << 10;

/// Why reading stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// Everything that has arrived was read.
    Drained,
    /// The budget is used up; there may be more to read.
    Budget,
    /// The sender has closed the connection.
    Closed,
    /// The connection was reset, or failed otherwise.
    Reset,
}

/// Reads what has arrived, up to about `budget` bytes, and passes it to `take` in pieces of up to the
/// size of `buffer`.
pub fn read_available(
    source: &mut impl Read,
    buffer: &mut [u8],
    budget: usize,
    mut take: impl FnMut(&[u8]),
) -> ReadEnd {
    let mut left = budget;
    while left > 0 {
        let most = left.min(buffer.len());
        match source.read(&mut buffer[..most]) {
            Ok(0) => return ReadEnd::Closed,
            Ok(n) => {
                left = left.saturating_sub(n);
                take(&buffer[..n]);
            }
            Err(e) => match e.kind() {
                // An unfinished connect has nothing to read yet.
                ErrorKind::WouldBlock | ErrorKind::NotConnected => return ReadEnd::Drained,
                ErrorKind::Interrupted => {}
                _ => return ReadEnd::Reset,
            },
        }
    }
    ReadEnd::Budget
}
