//! The entry host: sockets, clocks and logs round the core.
//!
//! [`Node`] runs a host inside any program; [`run`] is the whole `amaranthshunt` command.

mod callers;
mod calls;
mod clock;
mod command;
mod links;
mod lock;
mod node;
mod outcome;
mod telemetry;

pub use clock::Clock;
pub use command::run;
pub use node::{Node, StartError};
pub use outcome::{OUTCOME_HEADER, REASON_HEADER, status_of};
