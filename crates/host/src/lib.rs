//! The entry host: sockets, clock, logs and metrics for the core's state machine.
//!
//! [`Node`] runs a host in any process; [`run`] is the `amaranthshunt` command.

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
pub use outcome::{OUTCOME_HEADER, REASON_HEADER, refusal_status};
