//! Sockets with bounded buffers in the kernel.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;

use mio::net::TcpStream;
use rustix::io::Errno;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect as connect_socket, socket_with};

use super::budget::{LINK_RECEIVE, SEND_BUFFER};

/// Limits the kernel's buffers of a socket. A listener passes the limits on to what it accepts.
pub(super) fn limit_buffers(sock: &impl AsFd, receive: usize) -> io::Result<()> {
    set_socket_recv_buffer_size(sock, receive)?;
    Ok(set_socket_send_buffer_size(sock, SEND_BUFFER)?)
}

/// Starts to connect. The buffers are limited before, since the handshake announces their size.
pub(super) fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let sock = socket_with(family, SocketType::STREAM, flags, None)?;
    limit_buffers(&sock, LINK_RECEIVE)?;
    match connect_socket(&sock, &addr) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(TcpStream::from_std(sock.into())),
        Err(e) => Err(e.into()),
    }
}
