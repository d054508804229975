//! The operators' command-line tool: catalogue, orders, status and audit trail.
//!
//! Every change is checked first, written on condition that the object is unchanged since it was
//! read, and recorded in the audit trail; see `docs/operators/`.

mod audit;
mod change;
mod command;
mod status;
mod write;

pub use audit::AuditRecord;
pub use command::run;
