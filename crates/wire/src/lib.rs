//! Messages between entry hosts, framed for TCP.
//!
//! [`FrameCodec`] carries [`Frame`]s: first a [`Hello`], then [`Message`]s of the core. The
//! structs of [`proto`] are the bytes on the wire; `docs/design.md`, "Between hosts", says how
//! they may change.
//!
//! [`Message`]: amaranthshunt_core::Message

mod codec;
mod convert;
mod error;
pub mod proto;

pub use codec::{FRAME_LIMIT, Frame, FrameCodec, Hello};
pub use error::{Result, WireError};
