//! The entry host on its users' platform: sockets, clocks and logs round the core's router.
//!
//! The road of a request: `callers` reads it, `proxy` asks the router for a server and sends it
//! through `pool`. The road of a grant: `granting` keeps the one granting host, `orders` calls
//! servers, `peers` tells the other hosts. `watch` keeps the router's knowledge fresh from
//! `store`.

mod answer;
mod callers;
mod clock;
mod command;
mod counters;
mod front;
mod granting;
mod http;
mod lock;
mod logs;
mod messages;
mod orders;
mod peers;
mod pool;
mod proxy;
mod ready;
mod store;
mod watch;

pub use command::run;
pub use counters::{Counter, Counters};
