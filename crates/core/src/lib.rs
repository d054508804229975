//! The deterministic core of amaranthshunt, which does no I/O.
//!
//! A [`Host`] handles [`Event`]s with timestamps and returns [`Effect`]s. The `amaranthshunt`
//! program owns sockets, files and clocks. The same events with the same seed produce the same
//! effects, so [`trace`] can replay a recorded run.
//!
//! See `docs/design.md` for the design and `docs/promises.md` for the invariants.

pub mod arena;
pub mod balance;
pub mod budget;
pub mod catalogue;
pub mod control;
pub mod event;
pub mod finding;
pub mod front;
pub mod host;
pub mod ids;
pub mod invariant;
pub mod ledger;
pub mod limiter;
pub mod log;
pub mod message;
pub mod names;
pub mod object;
pub mod quarantine;
pub mod queue;
pub mod record;
pub mod request;
pub mod settings;
pub mod time;
pub mod timer;
pub mod trace;
pub mod validity;
pub mod view;

pub use event::{Effect, Event};
pub use host::Host;
pub use ids::{HostId, RequestId};
pub use message::Message;
pub use request::{Answer, Outcome, Refusal, Request, UnknownReason};
pub use settings::{HostSettings, Timing};
pub use time::Time;
