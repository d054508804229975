//! Fakes that implement the protocol of the users' platform.

mod arrivals;
mod early;
mod endless;
mod objects;
mod proxy;
mod recorder;
mod scripted;
mod upstream;

pub use arrivals::{Answer, Arrival};
pub use early::{ConnectionEnd, EarlyAnswer, EarlyUpstream};
pub use endless::{EndlessPart, EndlessUpstream};
pub use objects::{FakeObjectStore, StoreFault};
pub use proxy::{FaultProxy, LinkFault};
pub use recorder::{Execution, HeldKeys, ServerRecorder, Violation};
pub use scripted::{ScriptedResponse, ScriptedUpstream};
pub use upstream::{FakeUpstream, UpstreamFault, UpstreamOptions};
