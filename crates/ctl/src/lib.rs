//! The operators' program: catalogue, orders, status and audit trail.
//!
//! Every change is checked before it is written, written under the revision that was read,
//! and recorded in the audit trail; see `docs/operators/`.

mod audit;
mod change;
mod command;
mod status;
mod write;

pub use audit::AuditRecord;
pub use command::run;
