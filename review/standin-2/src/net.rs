//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;

/// First line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Status of a response; 0 if it is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.get("Content-Length").and_then(|v| v.parse().ok())
    }
}

/// Reads the head of a message; bytes after it stay in `buffer`. `None` if the connection ends first.
pub fn read_head(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let line = lines.next()?.to_owned();
            let headers = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                .collect();
            return Some(Head { line, headers });
        }
        if read_more(sock, buffer).ok()? == 0 {
            return None;
        }
    }
}

/// Appends what a read returns; 0 at the end of the connection.
pub fn read_more(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 << 10];
    let n = sock.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..n]);
    Ok(n)
}

/// Reads a body of `length` bytes. Returns what arrived, and whether that is all.
pub fn read_exact(sock: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> (Vec<u8>, bool) {
    while buffer.len() < length {
        match read_more(sock, buffer) {
            Ok(n) if n > 0 => {}
            _ => return (std::mem::take(buffer), false),
        }
    }
    (buffer.drain(..length).collect(), true)
}

/// Reads a chunked body. Returns what arrived, and whether it is complete.
pub fn read_chunked(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let size = loop {
            if let Some(n) = buffer.windows(2).position(|w| w == b"\r\n") {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                buffer.drain(..n + 2);
                match usize::from_str_radix(text.trim(), 16) {
                    Ok(size) => break size,
                    Err(_) => return (body, false),
                }
            }
            match read_more(sock, buffer) {
                Ok(n) if n > 0 => {}
                _ => return (body, false),
            }
        };
        let (mut data, complete) = read_exact(sock, buffer, size + 2);
        data.truncate(size);
        body.extend_from_slice(&data);
        if !complete {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
    }
}

/// Writes a response with a length.
pub fn respond(sock: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    sock.write_all(&out)
}

/// Serves each connection in a thread of its own.
pub fn listen(addr: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static) {
    listen_limited(addr, None, serve);
}

/// The same, with a limit on what the kernel receives for a connection before it is read.
pub fn listen_limited(
    addr: SocketAddr,
    receive: Option<i32>,
    serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static,
) {
    let listener = TcpListener::bind(addr).expect("a free port");
    if let Some(bytes) = receive {
        set_option(&listener, SO_RCVBUF, &[bytes]);
    }
    thread::spawn(move || {
        for sock in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(sock));
        }
    });
}

/// A loopback address of this process for the machine with this number, below 64.
pub fn own_ip(machine: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + machine % 64, (pid >> 8) as u8, (pid as u8).clamp(1, 254))
}

/// A free port on an address, each only once.
pub fn free_addr(ip: Ipv4Addr) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(11_000);
    loop {
        let addr = SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::SeqCst)));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_SNDBUF: i32 = 7;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

fn set_option(sock: &impl AsRawFd, name: i32, value: &[i32]) {
    let size = size_of_val(value) as u32;
    // The descriptor is open, and the value outlives the call.
    let done = unsafe { setsockopt(sock.as_raw_fd(), SOL_SOCKET, name, value.as_ptr(), size) };
    assert_eq!(done, 0, "socket option {name}");
}

/// Makes the connection end with a reset when it is closed.
pub fn reset_on_close(sock: &TcpStream) {
    set_option(sock, SO_LINGER, &[1, 0]);
}

/// Limits what the kernel holds for a connection, so that a side that doesn't read blocks the other.
pub fn limit_buffers(sock: &TcpStream, send: i32, receive: i32) {
    set_option(sock, SO_SNDBUF, &[send]);
    set_option(sock, SO_RCVBUF, &[receive]);
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this one has started.
pub fn signal(pid: u32, signal: i32) {
    // The process is a child that has not been waited for.
    unsafe { kill(pid as i32, signal) };
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Makes the calling process end when its parent ends.
pub fn end_with_parent() -> io::Result<()> {
    // The call takes numbers only.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}
