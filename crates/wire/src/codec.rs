//! Frames with a length in front.

use std::net::SocketAddr;

use amaranthshunt_core::{HostId, Message};
use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::{Result, WireError};
use crate::proto;

/// The longest frame, in bytes; the largest body and a full placement fit in it.
pub const FRAME_LIMIT: usize = 8 << 20;

/// Who opened a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hello {
    /// The host's identifier.
    pub from: HostId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// The first frame of a connection.
    Hello(Hello),
    /// Any later frame.
    Message(Message),
}

/// Turns bytes into frames and back.
///
/// An error leaves the byte stream without a known position, so the connection has to be
/// closed after one.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT)
            .new_codec();
        Self { lengths }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>> {
        let Some(frame) = self.lengths.decode(bytes)? else {
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
        self.lengths.encode(encoded, bytes)?;
        Ok(())
    }
}
