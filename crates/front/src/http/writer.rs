//! The writing half of a connection.

use std::io;

use async_std::net::TcpStream;

use super::body::Body;
use super::connection::write_message;

/// Writes messages to a connection that is read elsewhere.
#[derive(Debug)]
pub(crate) struct ConnectionWriter {
    stream: TcpStream,
}

impl ConnectionWriter {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Writes a head and a body.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub(crate) async fn write(&self, head: &[u8], body: &Body) -> io::Result<()> {
        write_message(&self.stream, head, body).await
    }
}
