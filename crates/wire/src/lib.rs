//! Messages between entry hosts, framed for TCP.
//!
//! [`FrameCodec`] carries [`Frame`]s: first a [`Hello`], then [`Message`]s of the core. [`proto`]
//! defines the wire format; `docs/design.md`, "Between hosts", says how it may change.
//!
//! [`Message`]: amaranthshunt_core::Message

mod codec;
mod convert;
mod error;
pub mod proto;

pub use codec::{Frame, FrameCodec, Hello, MAX_FRAME_BYTES};
pub use error::{Result, WireError};
