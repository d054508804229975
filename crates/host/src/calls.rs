//! Calls to the platform that the core asks for.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_clients::PlatformError;
use amaranthshunt_core::event::{Grant, StoreCall, StoreResult};
use amaranthshunt_core::ids::{CallId, ExchangeId};
use amaranthshunt_core::object::Object;
use amaranthshunt_core::request::{Order, OrderResult};
use amaranthshunt_core::{Event, Request};

use crate::node::Node;

/// Time without an answer after which a call to a fence register counts as failed.
const REGISTER_LIMIT: Duration = Duration::from_millis(150);

pub(crate) async fn call_store(node: Arc<Node>, call: CallId, kind: StoreCall) {
    let result = match kind {
        StoreCall::Get { key } => match node.store.get(&key).await {
            Ok(found) => StoreResult::Read(Object {
                key,
                revision: found.revision,
                value: found.value,
            }),
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Put {
            key,
            expected,
            value,
        } => match node.store.put(&key, expected, value).await {
            Ok(revision) => StoreResult::Written(revision),
            Err(PlatformError::Conflict) => StoreResult::Conflict,
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Hosts => match node.store.hosts().await {
            Ok(listed) => {
                let staying = listed.into_iter().filter(|host| !host.leaving);
                StoreResult::Hosts(staying.map(|host| host.address).collect())
            }
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Watch { after } => match node.store.watch(after).await {
            Ok((objects, complete)) => StoreResult::Changes { objects, complete },
            Err(_) => StoreResult::Failed,
        },
    };
    node.tell(Event::Store { call, result });
}

pub(crate) async fn call_register(
    node: Arc<Node>,
    call: CallId,
    address: std::net::SocketAddr,
    grant: Option<Grant>,
) {
    let result = node
        .backends
        .register(address, grant.as_ref(), REGISTER_LIMIT)
        .await;
    node.tell(Event::Register { call, result });
}

/// An order with where it goes.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) exchange: ExchangeId,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) boot: u64,
    pub(crate) order: Order,
    pub(crate) request: Request,
}

pub(crate) async fn give_order(node: Arc<Node>, dispatch: Dispatch) -> OrderResult {
    let now = node.now();
    node.backends
        .order(
            dispatch.address,
            dispatch.boot,
            &dispatch.order,
            &dispatch.request,
            now,
        )
        .await
}
