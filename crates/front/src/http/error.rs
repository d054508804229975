//! What can go wrong on a connection.

use std::fmt;
use std::io;

/// A result of this module.
pub(crate) type Result<T> = std::result::Result<T, HttpError>;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum HttpError {
    /// The connection ended or broke.
    Io(io::Error),
    /// The connection ended between two messages.
    Ended,
    /// The bytes are no message.
    Malformed(&'static str),
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection broke: {error}"),
            Self::Ended => f.write_str("connection ended"),
            Self::Malformed(what) => write!(f, "malformed: {what}"),
            Self::HeadTooLong => f.write_str("head is too long"),
            Self::BodyTooLong => f.write_str("body is too long"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
