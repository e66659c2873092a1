//! Minimal HTTP/1.1 messages with `Content-Length`, chunks or an end by close.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// False if the connection ended inside the body.
    pub complete: bool,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn more(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 16 << 10];
    match sock.read(&mut chunk) {
        Ok(n) if n > 0 => {
            buffer.extend_from_slice(&chunk[..n]);
            true
        }
        _ => false,
    }
}

/// Reads a head; `None` if the connection ends first.
pub fn read_head(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        if !more(sock, buffer) {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers = pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
    Some(Message { first, headers, body: Vec::new(), complete: false })
}

/// Reads a whole message; `None` if the connection ends inside the head.
pub fn read(sock: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(sock, buffer)?;
    if message.get("transfer-encoding").is_some() {
        message.complete = read_chunks(sock, buffer, &mut message.body);
        return Some(message);
    }
    let length = message.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !more(sock, buffer) {
            message.body = std::mem::take(buffer);
            return Some(message);
        }
    }
    message.body = buffer.drain(..length).collect();
    message.complete = true;
    Some(message)
}

fn read_chunks(sock: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                break end;
            }
            if !more(sock, buffer) {
                return false;
            }
        };
        let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return false };
        while buffer.len() < end + 2 + size + 2 {
            if !more(sock, buffer) {
                return false;
            }
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

/// Encodes a response with `Content-Length`.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Writes all bytes; false if the connection has failed.
pub fn write(sock: &mut TcpStream, bytes: &[u8]) -> bool {
    sock.write_all(bytes).is_ok()
}
