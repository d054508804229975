//! Fakes that implement the protocol of the users' platform.

mod objects;
mod proxy;
mod upstream;

pub use objects::{ObjectStore, StoreFault};
pub use proxy::{FaultProxy, LinkFault};
pub use upstream::{Execution, HeldKeys, Upstream, UpstreamFault, UpstreamOptions, Witness};
