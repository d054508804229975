//! HTTP/1.1 over one connection, for callers, servers and the store alike.
//!
//! `async-h1` hides bytes behind an answer and early ends, on which promises to callers rest;
//! heads are parsed by `httparse` and everything else is in this module. See
//! `docs/platform-path.md`, "On the wire".

mod connection;
mod error;
mod head;

pub(crate) use connection::{Connection, within};
pub(crate) use error::{HttpError, Result};
pub(crate) use head::{RequestHead, ResponseHead};
