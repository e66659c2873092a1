//! TCP proxy that cuts, delays, freezes or half-closes what passes through it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::adapter::clock::Clock;

const SLICE: Duration = Duration::from_millis(20);

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Passes everything.
    None,
    /// Closes all connections and every new one.
    Cut,
    /// Keeps connections open and passes nothing.
    Freeze,
    /// Delays each piece by this many milliseconds.
    Delay(u64),
    /// Passes requests and cuts when an answer comes.
    CutAnswers,
}

/// A proxy before one target.
pub struct ProxyStandin {
    addr: SocketAddr,
    fault: Mutex<Fault>,
    target: Mutex<SocketAddr>,
    clock: Clock,
}

impl ProxyStandin {
    /// Listens on `addr` and passes connections to `target`.
    pub fn start(clock: Clock, addr: SocketAddr, target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let (fault, target) = (Mutex::new(Fault::None), Mutex::new(target));
        let proxy = Arc::new(Self { addr, fault, target, clock });
        let inner = Arc::clone(&proxy);
        thread::Builder::new().name("proxy".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                inner.join(stream);
            }
        })?;
        Ok(proxy)
    }

    /// Address in use.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Passes new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join(self: &Arc<Self>, near: TcpStream) {
        if self.fault() == Fault::Cut {
            return;
        }
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
            return;
        };
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let (one, two) = (Arc::clone(self), Arc::clone(self));
        thread::spawn(move || one.pump(near, far, false));
        thread::spawn(move || two.pump(far2, near2, true));
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        from.set_nodelay(true).ok();
        from.set_read_timeout(Some(SLICE)).ok();
        let mut piece = [0; 16 << 10];
        loop {
            let cut = match self.fault() {
                Fault::Cut => true,
                Fault::Freeze => {
                    self.clock.sleep(SLICE.as_millis() as u64);
                    continue;
                }
                _ => false,
            };
            if cut {
                break;
            }
            let n = match from.read(&mut piece) {
                Ok(0) => break,
                Ok(n) => n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    continue;
                }
                Err(_) => break,
            };
            while self.fault() == Fault::Freeze {
                self.clock.sleep(SLICE.as_millis() as u64);
            }
            match self.fault() {
                Fault::Delay(ms) => self.clock.sleep(ms),
                Fault::CutAnswers if answers => break,
                Fault::Cut => break,
                _ => {}
            }
            if to.write_all(&piece[..n]).is_err() {
                break;
            }
        }
        from.shutdown(Shutdown::Both).ok();
        to.shutdown(Shutdown::Both).ok();
    }
}
