//! Clients for what the platform gives: the object store, the host list, backend servers.
//!
//! All of them speak HTTP/1.1 over kept connections; `docs/platform.md` has each call.

mod backend;
mod error;
mod http;
mod store;

pub use backend::{BackendClient, REGISTER_PATH, header};
pub use error::{PlatformError, Result};
pub use http::{Connection, HttpClient, Reply};
pub use store::{Change, Changes, HostEntry, StoreClient, StoreObject};
