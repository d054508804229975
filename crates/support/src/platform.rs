//! Stand-ins that speak the protocol of the users' platform.

mod objects;
mod proxy;
mod upstream;

pub use objects::{ObjectStore, StoreFault};
pub use proxy::{FaultProxy, LinkFault};
pub use upstream::{Held, Run, Upstream, UpstreamFault, UpstreamOptions, Witness};
