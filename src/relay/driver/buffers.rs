//! Bounds the memory of all buffers: responses held back until they are complete, streams whose callers
//! read slowly, bodies of requests.

use super::Driver;
use super::outcome::Cause;

/// Bytes read between two measurements of the buffers.
const MEASURE_BYTES: usize = 1 << 20;

/// The connection whose buffers take most memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Largest {
    /// Connection to an endpoint, by index.
    Link(usize),
    /// Connection of a caller, by index.
    Caller(usize),
}

impl Driver {
    /// Measures the buffers after each [`MEASURE_BYTES`] read. While all together take too much memory,
    /// frees what is unused, then closes the connections with the largest ones.
    pub(super) fn limit_buffers(&mut self) {
        self.unmeasured += self.turn.caller_bytes + self.turn.endpoint_bytes;
        if self.unmeasured < MEASURE_BYTES {
            return;
        }
        self.unmeasured = 0;
        let mut total = self.buffered();
        if total > self.setup.buffers {
            self.shrink_buffers();
            total = self.buffered();
        }
        while total > self.setup.buffers {
            let Some((bytes, largest)) = self.largest_buffers() else { break };
            tracing::warn!(
                total,
                limit = self.setup.buffers,
                bytes,
                ?largest,
                "relay: buffers too large"
            );
            self.metrics.evictions.inc();
            self.evict(largest);
            total = self.buffered();
        }
        self.metrics.buffered.set(total as i64);
    }

    fn buffered(&self) -> usize {
        let links: usize = self.links.iter().map(|(_, l)| l.buffered()).sum();
        links + self.callers.iter().map(|(_, c)| c.buffered()).sum::<usize>()
    }

    /// Frees what the buffers keep from earlier requests.
    fn shrink_buffers(&mut self) {
        self.links.iter_mut().for_each(|(_, l)| l.shrink());
        self.callers.iter_mut().for_each(|(_, c)| c.shrink());
    }

    fn largest_buffers(&self) -> Option<(usize, Largest)> {
        let links = self.links.iter().map(|(i, l)| (l.buffered(), Largest::Link(i)));
        links.chain(self.callers.iter().map(|(i, c)| (c.buffered(), Largest::Caller(i)))).max()
    }

    fn evict(&mut self, largest: Largest) {
        match largest {
            Largest::Link(index) => {
                let serial = self.links[index].serial;
                self.link_failed(index, Cause::Evicted);
                // The failed attempt has closed it, unless it carried no request.
                if self.links.get(index).is_some_and(|l| l.serial == serial) {
                    self.drop_link(index);
                }
            }
            Largest::Caller(index) => self.abort_caller(index),
        }
    }
}
