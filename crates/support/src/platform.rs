//! Fakes that implement the protocol of the users' platform.

mod endless;
mod objects;
mod proxy;
mod scripted;
mod upstream;

pub use endless::{EndlessPart, EndlessUpstream};
pub use objects::{FakeObjectStore, StoreFault};
pub use proxy::{FaultProxy, LinkFault};
pub use scripted::{ScriptedResponse, ScriptedUpstream};
pub use upstream::{
    Execution, FakeUpstream, HeldKeys, ServerRecorder, UpstreamFault, UpstreamOptions, Violation,
};
