//! HTTP/1.1 on a single connection, for callers, servers and the store.
//!
//! `async-h1` does not report bytes that follow a response or responses that end early; undetected,
//! either could give a caller a wrong response. `httparse` parses heads; the rest is implemented
//! here. See `docs/platform-path.md`, "On the wire".

mod body;
mod buffer_budget;
mod caller_slots;
mod connection;
mod error;
mod head;
mod reception;
mod writer;

pub(crate) use body::Body;
pub(crate) use buffer_budget::{BufferAccount, BufferBudget};
pub(crate) use caller_slots::{Admission, CallerSlot, CallerSlots};
pub(crate) use connection::{Connection, within};
pub(crate) use error::{HttpError, Result};
pub(crate) use head::{Framing, Headers, RequestHead, ResponseHead};
pub(crate) use writer::ConnectionWriter;
