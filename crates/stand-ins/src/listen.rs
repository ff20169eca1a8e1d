//! Listening for HTTP without Nagle's algorithm.
//!
//! The HTTP library sends an answer's head and body, and each event of a stream, in writes of
//! their own and does not set `TCP_NODELAY`. The kernel then holds the later writes back until
//! the client acknowledges the first, which a client delays by some 40 ms. Linux hands the
//! option of a listening socket down to the connections it accepts, so it is set there.

use socket2::SockRef;
use std::io;
use std::net::TcpListener;
use tiny_http::Server;

/// Connections that may wait to be accepted.
///
/// The standard library's own limit is 128. In a burst, the kernel drops what goes beyond it, and
/// the client tries again only after a second, which is all the time it has to connect.
const WAITING_CONNECTIONS: i32 = 1024;

/// Serves HTTP at `addr`, such as `127.0.0.1:0`, on connections that send at once.
///
/// # Errors
/// Those of listening at the address.
pub fn listen(addr: &str) -> io::Result<Server> {
    Server::from_listener(bind(addr)?, None).map_err(io::Error::other)
}

/// Binds a listener whose connections send at once.
///
/// # Errors
/// Those of listening at the address.
pub fn bind(addr: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    let socket = SockRef::from(&listener);
    socket.set_tcp_nodelay(true)?;
    // Listening again only changes the limit.
    socket.listen(WAITING_CONNECTIONS)?;
    Ok(listener)
}
