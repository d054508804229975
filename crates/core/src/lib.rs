//! Decisions of amaranthshunt, without input or output.
//!
//! A [`Host`] is told of [`Event`]s at given times and answers with [`Effect`]s. Sockets, files
//! and clocks belong to the `amaranthshunt` program. The same events with the same seed give
//! the same effects, which is what [`trace`] replays.
//!
//! `docs/design.md` records the decisions, `docs/promises.md` the invariants.

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
pub use request::{Answer, Doubt, Outcome, Refusal, Request};
pub use settings::{HostSettings, Timing};
pub use time::Time;
