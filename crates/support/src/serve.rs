//! An HTTP server that can be stopped as abruptly as a lost process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_std::net::TcpListener;
use async_std::task;
use futures::future::{AbortHandle, Abortable};

/// The tasks of a running server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    handles: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Tasks {
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let (handle, registration) = AbortHandle::new_pair();
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.push(handle);
        task::spawn(Abortable::new(future, registration));
    }

    /// Whether everything was dropped.
    pub(crate) fn is_aborted(&self) -> bool {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.is_empty()
    }

    /// Drops every socket and everything under way.
    pub(crate) fn abort(&self) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        for handle in handles.drain(..) {
            handle.abort();
        }
    }
}

/// Serves an application until its tasks are aborted.
pub(crate) async fn serve<S>(
    address: SocketAddr,
    app: tide::Server<S>,
    tasks: &Tasks,
) -> std::io::Result<()>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let inner = tasks.clone();
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let app = app.clone();
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            inner.spawn(async move {
                let _ =
                    async_h1::accept(stream, |request| async { app.respond(request).await }).await;
            });
        }
    });
    Ok(())
}
