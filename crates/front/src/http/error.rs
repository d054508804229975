//! Errors of reading and writing messages.

use std::fmt;
use std::io;

/// The result type of the HTTP module.
pub(crate) type Result<T> = std::result::Result<T, HttpError>;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum HttpError {
    /// The connection failed, timed out or was closed within a message.
    Io(io::Error),
    /// The connection was closed before a message began.
    Closed,
    /// The message is malformed; names the invalid part.
    Malformed(&'static str),
    /// The head exceeds the limit on its bytes or headers.
    HeadTooLong,
    /// The body exceeds the limit.
    BodyTooLong,
    /// Messages occupy all memory that they may.
    OutOfMemory,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection broke: {error}"),
            Self::Closed => f.write_str("connection closed before the message began"),
            Self::Malformed(part) => write!(f, "malformed message: {part}"),
            Self::HeadTooLong => f.write_str("head is too long"),
            Self::BodyTooLong => f.write_str("body is too long"),
            Self::OutOfMemory => f.write_str("no memory for the message"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
