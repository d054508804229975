//! Length-delimited frames.

use std::net::SocketAddr;

use amaranthshunt_core::{HostId, Message};
use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::{Result, WireError};
use crate::proto;

/// The largest frame, in bytes; it has room for the largest request body and a full placement.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Identifies the host that opened a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hello {
    /// The host's identifier.
    pub from: HostId,
    /// The address on which it listens for other hosts.
    pub address: SocketAddr,
}

/// A frame of a connection between hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// The first frame of a connection.
    Hello(Hello),
    /// Any frame after the first.
    Message(Message),
}

/// Encodes and decodes frames.
///
/// After an error the position in the byte stream is unknown, so the connection must be closed.
#[derive(Debug)]
pub struct FrameCodec {
    framing: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let framing = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { framing }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>> {
        let Some(frame) = self.framing.decode(bytes)? else {
            return Ok(None);
        };
        let envelope = proto::Envelope::decode(frame)?;
        Frame::try_from(envelope).map(Some)
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, bytes: &mut BytesMut) -> Result<()> {
        let envelope = proto::Envelope::from(frame);
        let encoded = Bytes::from(envelope.encode_to_vec());
        self.framing.encode(encoded, bytes)?;
        Ok(())
    }
}
