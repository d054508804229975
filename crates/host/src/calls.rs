//! Carries out the platform and backend server calls that the core requests.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_clients::CallError;
use amaranthshunt_core::event::{Grant, StoreCall, StoreResult};
use amaranthshunt_core::ids::{CallId, ExchangeId};
use amaranthshunt_core::object::Object;
use amaranthshunt_core::request::{Order, OrderResult};
use amaranthshunt_core::{Event, Request};

use crate::node::Node;

/// Time without a response after which a call to a fence register counts as failed.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(150);

pub(crate) async fn call_store(node: Arc<Node>, call: CallId, kind: StoreCall) {
    let result = match kind {
        StoreCall::Get { key } => match node.store.get(&key).await {
            Ok(object) => StoreResult::Read(Object {
                key,
                revision: object.revision,
                value: object.value,
            }),
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Put {
            key,
            expected,
            value,
        } => match node.store.put(&key, expected, value).await {
            Ok(revision) => StoreResult::Written(revision),
            Err(CallError::Conflict) => StoreResult::Conflict,
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Hosts => match node.store.hosts().await {
            Ok(hosts) => {
                let remaining = hosts.into_iter().filter(|host| !host.leaving);
                StoreResult::Hosts(remaining.map(|host| host.address).collect())
            }
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Watch { after } => match node.store.watch(after).await {
            Ok((objects, complete)) => StoreResult::Changes { objects, complete },
            Err(_) => StoreResult::Failed,
        },
    };
    node.handle_event(Event::Store { call, result });
}

pub(crate) async fn call_register(
    node: Arc<Node>,
    call: CallId,
    address: std::net::SocketAddr,
    grant: Option<Grant>,
) {
    let result = node
        .backends
        .access_register(address, grant.as_ref(), REGISTER_TIMEOUT)
        .await;
    node.handle_event(Event::Register { call, result });
}

/// An order and the server process that it is sent to.
#[derive(Debug)]
pub(crate) struct OrderDispatch {
    pub(crate) exchange: ExchangeId,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) boot: u64,
    pub(crate) order: Order,
    pub(crate) request: Request,
}

pub(crate) async fn send_order(node: Arc<Node>, dispatch: OrderDispatch) -> OrderResult {
    let now = node.now();
    node.backends
        .send_order(
            dispatch.address,
            dispatch.boot,
            &dispatch.order,
            &dispatch.request,
            now,
        )
        .await
}
