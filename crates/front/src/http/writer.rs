//! The writing half of a connection.

use std::io;

use async_std::net::TcpStream;
use futures::AsyncWriteExt;

use super::body::Body;
use super::buffer_budget::SMALL_MESSAGE;

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

/// Writes a message: one write for a short one, none of which copies a long body.
pub(super) async fn write_message(
    mut stream: &TcpStream,
    head: &[u8],
    body: &Body,
) -> io::Result<()> {
    if head.len() + body.len() <= SMALL_MESSAGE {
        let bytes = [head]
            .into_iter()
            .chain(body.parts().iter().map(|part| &part[..]));
        return stream.write_all(&bytes.collect::<Vec<_>>().concat()).await;
    }
    stream.write_all(head).await?;
    for part in body.parts() {
        stream.write_all(part).await?;
    }
    Ok(())
}
