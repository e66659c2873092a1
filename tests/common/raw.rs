//! Answers that a stand-in writes byte by byte, sound or broken.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Stands for the header lines that a sound answer has: the id of the attempt and the seal.
const OWN: &[u8] = b"{own}";

/// What becomes of the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is kept for further requests.
    Kept,
    /// It is closed in order.
    Closed,
    /// It is reset.
    Reset,
}

/// An answer: its bytes, in which `{own}` stands for the header lines of a sound answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Raw {
    pub bytes: &'static [u8],
    pub end: End,
}

impl Raw {
    pub const fn kept(bytes: &'static [u8]) -> Self {
        Self { bytes, end: End::Kept }
    }

    pub const fn closed(bytes: &'static [u8]) -> Self {
        Self { bytes, end: End::Closed }
    }

    pub const fn reset(bytes: &'static [u8]) -> Self {
        Self { bytes, end: End::Reset }
    }

    /// Sends the answer with the header lines `own`. Returns true if the connection goes on.
    pub fn send(self, sock: &mut TcpStream, own: &str) -> bool {
        let written = sock.write_all(&replaced(self.bytes, own.as_bytes())).is_ok();
        match self.end {
            End::Kept => written,
            End::Closed => {
                sock.shutdown(Shutdown::Write).ok();
                false
            }
            End::Reset => reset(sock),
        }
    }
}

/// `bytes` with `own` in place of [`OWN`].
fn replaced(bytes: &[u8], own: &[u8]) -> Vec<u8> {
    let Some(at) = bytes.windows(OWN.len()).position(|w| w == OWN) else { return bytes.to_vec() };
    [&bytes[..at], own, &bytes[at + OWN.len()..]].concat()
}

/// Makes the connection close with a TCP reset.
pub fn reset(sock: &TcpStream) -> bool {
    rustix::net::sockopt::set_socket_linger(sock, Some(Duration::ZERO)).unwrap();
    false
}
