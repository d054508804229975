//! Why a call to the platform gave no usable answer.

use std::fmt;
use std::io;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform gave no usable answer.
#[derive(Debug)]
pub enum PlatformError {
    /// No connection could be made, so the call did not arrive.
    Unreachable(io::Error),
    /// The exchange broke off, or took too long; the call may have taken effect.
    Lost(String),
    /// The object is not at the expected revision.
    Conflict,
    /// The answer was not one that the protocol allows.
    Unexpected(u16),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => write!(f, "no connection: {error}"),
            Self::Lost(text) => write!(f, "the exchange broke off: {text}"),
            Self::Conflict => write!(f, "the object has changed"),
            Self::Unexpected(status) => write!(f, "unexpected status {status}"),
        }
    }
}

impl std::error::Error for PlatformError {}
