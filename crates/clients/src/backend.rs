//! Backend servers: their fence register and their orders.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_core::event::{Grant, RegisterResult, RegisterState};
use amaranthshunt_core::ids::Token;
use amaranthshunt_core::request::{Order, OrderRefusal, OrderResult};
use amaranthshunt_core::{Answer, Request, Time};
use http_types::Method;

use crate::error::{PlatformError, Result};
use crate::http::{Connection, HttpClient, Reply, request};

/// The path of the fence register.
pub const REGISTER_PATH: &str = "/register";

/// Headers of orders and their answers.
pub mod header {
    /// The shard of an order.
    pub const SHARD: &str = "order-shard";
    /// The epoch of an order's shard.
    pub const EPOCH: &str = "order-epoch";
    /// The fence token of an order.
    pub const TOKEN: &str = "order-token";
    /// The end of an order, in microseconds since the Unix epoch.
    pub const DEADLINE: &str = "order-deadline";
    /// The tenant of an order's key.
    pub const TENANT: &str = "tenant";
    /// The idempotency key of a request.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Why a backend server did not run an order.
    pub const NOT_RUN: &str = "not-run";
}

/// A client of backend servers.
#[derive(Debug, Default)]
pub struct BackendClient {
    http: HttpClient,
}

impl BackendClient {
    /// Asks or changes a fence register.
    pub async fn register(
        &self,
        address: SocketAddr,
        grant: Option<&Grant>,
        limit: Duration,
    ) -> RegisterResult {
        let call = self.call_register(address, grant, limit).await;
        call.unwrap_or_else(|error| match error {
            PlatformError::Unreachable(_) => RegisterResult::Unreachable,
            _ => RegisterResult::Failed,
        })
    }

    /// Gives an order over a connection to the run of the server that `boot` names.
    pub async fn order(
        &self,
        address: SocketAddr,
        boot: u64,
        order: &Order,
        payload: &Request,
        now: Time,
    ) -> OrderResult {
        let limit = order.deadline.since(now);
        let connected = async_std::future::timeout(limit, self.connect(address, boot)).await;
        let Ok(Some(connection)) = connected else {
            return OrderResult::Refused(OrderRefusal::Unreachable);
        };
        let Ok(request) = order_request(address, order, payload) else {
            return OrderResult::Refused(OrderRefusal::Unreachable);
        };
        let exchange = async_std::future::timeout(limit, connection.exchange(request)).await;
        let Ok(Ok(reply)) = exchange else {
            return OrderResult::Lost;
        };
        self.http.keep(address, boot, connection);
        read_result(reply)
    }

    async fn call_register(
        &self,
        address: SocketAddr,
        grant: Option<&Grant>,
        limit: Duration,
    ) -> Result<RegisterResult> {
        let request = register_request(address, grant)?;
        let reply = self.http.send(address, request, limit).await?;
        if reply.status == 409 {
            let token = reply
                .header(header::TOKEN)
                .and_then(|text| text.parse().ok());
            return Ok(RegisterResult::Fenced(Token(token.unwrap_or_default())));
        }
        let state = read_state(&reply)?;
        self.http.forget_others(address, state.boot);
        Ok(RegisterResult::State(state))
    }

    /// A connection to one run of a server; `None` where another run answers, or none.
    async fn connect(&self, address: SocketAddr, boot: u64) -> Option<Connection> {
        if let Some(connection) = self.http.take(address, boot).await {
            return Some(connection);
        }
        let connection = Connection::open(address).await.ok()?;
        let question = register_request(address, None).ok()?;
        let reply = connection.exchange(question).await.ok()?;
        let state = read_state(&reply).ok()?;
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
        request.set_body(body.map_err(|error| PlatformError::Lost(error.to_string()))?);
    }
    Ok(request)
}

fn order_request(
    address: SocketAddr,
    order: &Order,
    payload: &Request,
) -> Result<http_types::Request> {
    let path = format!("/run/{}", payload.key);
    let mut request = request(Method::Post, address, &path)?;
    request.insert_header(header::SHARD, order.shard.index.to_string());
    request.insert_header(header::EPOCH, order.epoch.to_string());
    request.insert_header(header::TOKEN, order.token.to_string());
    request.insert_header(header::DEADLINE, order.deadline.as_micros().to_string());
    if !payload.tenant.is_empty() {
        request.insert_header(header::TENANT, payload.tenant.as_str());
    }
    if let Some(key) = payload.idempotency {
        request.insert_header(header::IDEMPOTENCY_KEY, key.0.to_string());
    }
    request.set_body(payload.body.to_vec());
    Ok(request)
}

fn read_state(reply: &Reply) -> Result<RegisterState> {
    if reply.status != 200 {
        return Err(PlatformError::Unexpected(reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|error| PlatformError::Lost(error.to_string()))
}

fn read_result(reply: Reply) -> OrderResult {
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
