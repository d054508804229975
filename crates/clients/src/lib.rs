//! Clients for the platform's object store and host list, and for backend servers.
//!
//! They use HTTP/1.1 over persistent connections; `docs/platform.md` documents each call.

mod backend;
mod error;
mod http;
mod store;

pub use backend::{BackendClient, REGISTER_PATH, header};
pub use error::{CallError, Result};
pub use http::{Connection, HttpClient, Reply};
pub use store::{Change, Changes, HostEntry, StoreClient, StoreObject};
