//! Errors of calls to the platform and to backend servers.

use std::fmt;
use std::io;

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call gave no usable response.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be opened, so the call had no effect.
    Unreachable(io::Error),
    /// The exchange failed or timed out; the call may have taken effect.
    Lost(String),
    /// The object is not at the expected revision.
    Conflict,
    /// The protocol does not allow a response with this HTTP status, or it lacks a valid `ETag`.
    Unexpected(u16),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => write!(f, "could not connect: {error}"),
            Self::Lost(reason) => write!(f, "the exchange failed: {reason}"),
            Self::Conflict => write!(f, "the object is not at the expected revision"),
            Self::Unexpected(status) => write!(f, "unexpected response with HTTP status {status}"),
        }
    }
}

impl std::error::Error for CallError {}
