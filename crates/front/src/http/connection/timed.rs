//! Time limits of operations of a connection.

use std::future::Future;
use std::io;
use std::time::Duration;

use async_std::future::timeout;

use super::super::body::Body;
use super::super::buffer_budget::BufferAccount;
use super::super::error::{HttpError, Result};
use super::super::head::Framing;
use super::Connection;

impl Connection {
    /// Reads a body as [`Connection::read_body`] does, however long it takes, as long as it makes progress.
    ///
    /// # Errors
    ///
    /// Fails as [`Connection::read_body`], or with a timeout once `limit` has passed without a byte.
    pub(crate) async fn read_steady_body(
        &mut self,
        limit: Duration,
        framing: Framing,
        max_length: usize,
        account: &mut BufferAccount,
    ) -> Result<Body> {
        self.read_timeout = Some(limit);
        let body = self.read_body(framing, max_length, account).await;
        self.read_timeout = None;
        body
    }
}

/// Sets a timeout on an operation of a connection.
///
/// # Errors
///
/// Fails with a timeout, or as the operation does.
pub(crate) async fn within<T>(
    limit: Duration,
    operation: impl Future<Output = Result<T>>,
) -> Result<T> {
    match timeout(limit, operation).await {
        Ok(result) => result,
        Err(_) => Err(HttpError::Io(io::ErrorKind::TimedOut.into())),
    }
}
