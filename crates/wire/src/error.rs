//! What can be wrong with a frame.

use std::fmt;
use std::io;

/// The result of reading or writing a frame.
pub type Result<T> = std::result::Result<T, WireError>;

/// Why a connection between hosts has to be closed.
#[derive(Debug)]
pub enum WireError {
    /// The connection failed, or a frame is longer than the limit.
    Io(io::Error),
    /// The bytes are no message.
    Decode(prost::DecodeError),
    /// A message lacks a field or has one out of range.
    Field(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "the connection failed: {error}"),
            Self::Decode(error) => write!(f, "the frame is no message: {error}"),
            Self::Field(name) => write!(f, "the message has no usable `{name}`"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Decode(error)
    }
}
