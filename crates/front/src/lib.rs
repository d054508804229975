//! The entry host as it runs on the platform: the sockets, clocks and logs around the core's router.
//!
//! Requests: `callers` reads them, and `proxy` asks the router for a server and sends them over a
//! connection from `pool`. Grants of keys: `leadership` elects the leader, the one host that grants
//! keys, `orders` sends its grants to servers, and `peers` connects it to the other hosts. `watch`
//! keeps the router's view of the store up to date through `store`. `reach` notices that this host
//! reaches no server; `proxy` then passes requests on to one of the `helpers`.
//! `suspects` refuses requests that crash servers.

mod allowances;
mod callers;
mod clock;
mod command;
mod counters;
mod entry_host;
mod gauges;
mod helpers;
mod http;
mod leadership;
mod link;
mod lock;
mod logs;
mod messages;
mod monitoring;
mod orders;
mod peers;
mod pool;
mod proxy;
mod reach;
mod registration;
mod response;
mod signals;
mod store;
mod suspects;
mod watch;

pub use command::run;
pub use counters::{Counter, Counters};
pub use gauges::Gauges;
