//! Connections between entry hosts, which carry messages in frames with a length.

use async_std::net::TcpStream;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::messages::{Body, Envelope};

/// Maximum length of a message, in bytes; a table of some thousand key ranges fits.
const FRAME_LIMIT: usize = 1 << 20;

/// Encodes a message, once for all its recipients.
pub(crate) fn encode_frame(body: Body) -> Bytes {
    let envelope = Envelope { body: Some(body) };
    Bytes::from(envelope.encode_to_vec())
}

/// A connection to another host.
pub(crate) struct Link {
    framed: Framed<Compat<TcpStream>, LengthDelimitedCodec>,
}

impl Link {
    /// Wraps an open stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        // A failure costs only latency; a broken connection is noticed at its first use.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT)
            .new_codec();
        Self {
            framed: Framed::new(stream.compat(), codec),
        }
    }

    /// Sends a message; `None` if the connection is broken.
    pub(crate) async fn send(&mut self, body: Body) -> Option<()> {
        self.send_frame(encode_frame(body)).await
    }

    /// Sends an encoded message; `None` if the connection is broken.
    pub(crate) async fn send_frame(&mut self, bytes: Bytes) -> Option<()> {
        self.framed.send(bytes).await.ok()
    }

    /// Receives a message; `None` if the connection has ended or the message is invalid.
    pub(crate) async fn receive(&mut self) -> Option<Body> {
        let frame = self.framed.next().await?.ok()?;
        match Envelope::decode(frame) {
            Ok(envelope) => envelope.body,
            Err(error) => {
                log::warn!("ending a connection with a host: invalid message: {error}");
                None
            }
        }
    }
}
