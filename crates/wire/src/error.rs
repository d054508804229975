//! Errors of reading and writing frames.

use std::fmt;
use std::io;

/// The result of reading or writing a frame.
pub type Result<T> = std::result::Result<T, WireError>;

/// Why a connection between hosts has to be closed.
#[derive(Debug)]
pub enum WireError {
    /// The connection failed, or a frame is longer than the limit.
    Io(io::Error),
    /// The bytes are not a valid message.
    Decode(prost::DecodeError),
    /// The named field of a message is missing or out of range.
    Field(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection error: {error}"),
            Self::Decode(error) => write!(f, "the frame is not a valid message: {error}"),
            Self::Field(name) => write!(
                f,
                "field `{name}` of the message is missing or out of range"
            ),
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
