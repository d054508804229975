//! HTTP/1.1 on a single connection, for callers, servers and the store.
//!
//! `async-h1` hides bytes that follow a response and responses that end early, both of which have
//! to be seen to keep the promises to callers. `httparse` parses heads; the rest is implemented
//! here. See `docs/platform-path.md`, "On the wire".

mod connection;
mod error;
mod head;

pub(crate) use connection::{Connection, within};
pub(crate) use error::{HttpError, Result};
pub(crate) use head::{RequestHead, ResponseHead};
