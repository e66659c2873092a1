//! TCP proxy that simulates network faults: it closes, freezes or delays the connections that pass
//! through it, or drops only the responses.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::adapter::clock::Clock;

/// How often an idle or frozen connection checks for a change of the fault.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Network fault that the proxy simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    None,
    /// Closes all open connections and each new one.
    Cut,
    /// Keeps connections open but forwards nothing.
    Freeze,
    /// Delays each chunk of data by this many milliseconds.
    Delay(u64),
    /// Forwards requests, but closes the connection when the response begins to arrive.
    CutResponses,
}

/// A proxy in front of one target.
pub struct ProxyStandin {
    addr: SocketAddr,
    fault: Mutex<Fault>,
    target: Mutex<SocketAddr>,
    clock: Clock,
}

impl ProxyStandin {
    /// Listens on `addr` and forwards connections to `target`.
    pub fn start(clock: Clock, addr: SocketAddr, target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let (fault, target) = (Mutex::new(Fault::None), Mutex::new(target));
        let proxy = Arc::new(Self { addr, fault, target, clock });
        let inner = Arc::clone(&proxy);
        thread::Builder::new().name("proxy".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                inner.connect(stream);
            }
        })?;
        Ok(proxy)
    }

    /// Address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault to simulate.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects a client to the target, and forwards each direction on a thread of its own. Closes
    /// the connection at once if the fault is [`Fault::Cut`], or if the target does not accept it
    /// within 1 s.
    fn connect(self: &Arc<Self>, client: TcpStream) {
        if self.fault() == Fault::Cut {
            return;
        }
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
            return;
        };
        let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let (requests, responses) = (Arc::clone(self), Arc::clone(self));
        thread::spawn(move || requests.forward(client, server, false));
        thread::spawn(move || responses.forward(server2, client2, true));
    }

    /// Forwards one direction of a connection until either side closes it or a fault cuts it, then
    /// closes both sides.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        from.set_nodelay(true).ok();
        from.set_read_timeout(Some(POLL_INTERVAL)).ok();
        let mut buf = [0; 16 << 10];
        loop {
            let cut = match self.fault() {
                Fault::Cut => true,
                Fault::Freeze => {
                    self.clock.sleep(POLL_INTERVAL.as_millis() as u64);
                    continue;
                }
                _ => false,
            };
            if cut {
                break;
            }
            let n = match from.read(&mut buf) {
                Ok(0) => break,
                Ok(n) => n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    continue;
                }
                Err(_) => break,
            };
            while self.fault() == Fault::Freeze {
                self.clock.sleep(POLL_INTERVAL.as_millis() as u64);
            }
            match self.fault() {
                Fault::Delay(ms) => self.clock.sleep(ms),
                Fault::CutResponses if is_response => break,
                Fault::Cut => break,
                _ => {}
            }
            if to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        from.shutdown(Shutdown::Both).ok();
        to.shutdown(Shutdown::Both).ok();
    }
}
