//! An HTTP server that can be stopped as abruptly as a killed process.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use futures::future::{AbortHandle, Abortable};

/// Time within which an aborted server releases its address.
const RELEASE_TIME: Duration = Duration::from_millis(1_000);
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Abort handles of the tasks of a running server.
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

    /// Whether no task is left, because they were aborted or none was spawned.
    pub(crate) fn is_aborted(&self) -> bool {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.is_empty()
    }

    /// Aborts all tasks, which drops their sockets and the requests in flight.
    pub(crate) fn abort(&self) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        for handle in handles.drain(..) {
            handle.abort();
        }
    }
}

/// Binds an address; waits for an aborted server at the same address, whose listener closes only when
/// its task runs.
async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let end = Instant::now() + RELEASE_TIME;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < end => {
                task::sleep(RELEASE_POLL_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Serves an application on an address until `tasks` is aborted.
pub(crate) async fn serve<S>(
    address: SocketAddr,
    app: tide::Server<S>,
    tasks: &Tasks,
) -> std::io::Result<()>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = bind(address).await?;
    let connections = tasks.clone();
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let app = app.clone();
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            connections.spawn(async move {
                let _ =
                    async_h1::accept(stream, |request| async { app.respond(request).await }).await;
            });
        }
    });
    Ok(())
}
