//! Client of backend servers: fence registers and orders.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_core::event::{Grant, RegisterResult, RegisterState};
use amaranthshunt_core::ids::FenceToken;
use amaranthshunt_core::request::{Order, OrderRefusal, OrderResult};
use amaranthshunt_core::{Answer, Request, Time};
use http_types::Method;

use crate::error::{CallError, Result};
use crate::http::{Connection, HttpClient, Reply, request};

/// The path of a server's fence register, which holds its highest fence token and that token's
/// grant.
pub const REGISTER_PATH: &str = "/register";

/// Headers of orders and of the responses to them.
pub mod header {
    /// The index of the order's shard.
    pub const SHARD: &str = "order-shard";
    /// The epoch of the order's shard.
    pub const EPOCH: &str = "order-epoch";
    /// The fence token of the order, or the higher one in a `409` response.
    pub const TOKEN: &str = "order-token";
    /// The deadline of the order, in microseconds since the Unix epoch.
    pub const DEADLINE: &str = "order-deadline";
    /// The tenant of the order's key.
    pub const TENANT: &str = "tenant";
    /// The idempotency key of the request.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The reason why the backend server did not run the order.
    pub const NOT_RUN: &str = "not-run";
}

/// A client of backend servers that reuses connections.
#[derive(Debug, Default)]
pub struct BackendClient {
    http: HttpClient,
}

impl BackendClient {
    /// Reads a fence register, or updates it with `grant`.
    pub async fn access_register(
        &self,
        address: SocketAddr,
        grant: Option<&Grant>,
        timeout: Duration,
    ) -> RegisterResult {
        let call = self.try_access_register(address, grant, timeout).await;
        call.unwrap_or_else(|error| match error {
            CallError::Unreachable(_) => RegisterResult::Unreachable,
            _ => RegisterResult::Failed,
        })
    }

    /// Sends an order over a connection to the server process with the boot number `boot`.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        boot: u64,
        order: &Order,
        caller_request: &Request,
        now: Time,
    ) -> OrderResult {
        let timeout = order.deadline.since(now);
        let connected = async_std::future::timeout(timeout, self.connect(address, boot)).await;
        let Ok(Some(connection)) = connected else {
            return OrderResult::Refused(OrderRefusal::Unreachable);
        };
        let Ok(request) = order_request(address, order, caller_request) else {
            return OrderResult::Refused(OrderRefusal::Unreachable);
        };
        let exchange = async_std::future::timeout(timeout, connection.exchange(request)).await;
        let Ok(Ok(reply)) = exchange else {
            return OrderResult::Lost;
        };
        self.http.put_idle(address, boot, connection);
        order_result(reply)
    }

    async fn try_access_register(
        &self,
        address: SocketAddr,
        grant: Option<&Grant>,
        timeout: Duration,
    ) -> Result<RegisterResult> {
        let request = register_request(address, grant)?;
        let reply = self.http.send(address, request, timeout).await?;
        if reply.status == 409 {
            let token = reply
                .header(header::TOKEN)
                .and_then(|text| text.parse().ok());
            return Ok(RegisterResult::Fenced(FenceToken(
                token.unwrap_or_default(),
            )));
        }
        let state = register_state(&reply)?;
        self.http.close_other_tags(address, state.boot);
        Ok(RegisterResult::State(state))
    }

    /// Connects to the server process with the boot number `boot`; `None` if no process or another
    /// one answers.
    async fn connect(&self, address: SocketAddr, boot: u64) -> Option<Connection> {
        if let Some(connection) = self.http.take_idle(address, boot).await {
            return Some(connection);
        }
        let connection = Connection::open(address).await.ok()?;
        let state_request = register_request(address, None).ok()?;
        let reply = connection.exchange(state_request).await.ok()?;
        let state = register_state(&reply).ok()?;
        (state.boot == boot).then_some(connection)
    }
}

fn register_request(address: SocketAddr, grant: Option<&Grant>) -> Result<http_types::Request> {
    let method = if grant.is_some() {
        Method::Put
    } else {
        Method::Get
    };
    let mut request = request(method, address, REGISTER_PATH)?;
    if let Some(grant) = grant {
        let body = serde_json::to_vec(grant);
        request.set_body(body.map_err(|error| CallError::Lost(error.to_string()))?);
    }
    Ok(request)
}

fn order_request(
    address: SocketAddr,
    order: &Order,
    caller_request: &Request,
) -> Result<http_types::Request> {
    let path = format!("/run/{}", caller_request.key);
    let mut request = request(Method::Post, address, &path)?;
    request.insert_header(header::SHARD, order.shard.index.to_string());
    request.insert_header(header::EPOCH, order.epoch.to_string());
    request.insert_header(header::TOKEN, order.token.to_string());
    request.insert_header(header::DEADLINE, order.deadline.as_micros().to_string());
    if !caller_request.tenant.is_empty() {
        request.insert_header(header::TENANT, caller_request.tenant.as_str());
    }
    if let Some(key) = caller_request.idempotency_key {
        request.insert_header(header::IDEMPOTENCY_KEY, key.0.to_string());
    }
    request.set_body(caller_request.body.to_vec());
    Ok(request)
}

fn register_state(reply: &Reply) -> Result<RegisterState> {
    if reply.status != 200 {
        return Err(CallError::Unexpected(reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|error| CallError::Lost(error.to_string()))
}

fn order_result(reply: Reply) -> OrderResult {
    let refusal = match reply.header(header::NOT_RUN) {
        None => None,
        Some("fenced") => Some(OrderRefusal::Fenced),
        Some("expired") => Some(OrderRefusal::Expired),
        Some(_) => Some(OrderRefusal::Shed),
    };
    match refusal {
        Some(refusal) => OrderResult::Refused(refusal),
        None => OrderResult::Answer(Answer {
            status: reply.status,
            body: reply.body,
        }),
    }
}
