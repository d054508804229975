//! Inputs and outputs of a host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{CallId, Epoch, ExchangeId, FenceToken, HostId, RequestId, Revision, ServerKey};
use crate::log::LogRecord;
use crate::message::Message;
use crate::object::{Object, ObjectKey};
use crate::request::{Order, OrderResult, Outcome, Request};
use crate::time::Time;

/// An input to a host: something that happened outside the core.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A timer is due.
    Tick,
    /// A caller sent a request.
    Request {
        /// The ID under which its outcome is returned.
        id: RequestId,
        /// The request to route to its shard's owner.
        request: Request,
    },
    /// A caller disconnected.
    Cancelled {
        /// The request that the caller no longer waits for.
        id: RequestId,
    },
    /// Another host sent a message.
    Peer {
        /// The host process that sent the message.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The connection to another host broke or could not be established.
    PeerLost {
        /// The other host.
        host: HostId,
    },
    /// A call to the object store ended.
    Store {
        /// The ID given in [`Effect::Store`].
        call: CallId,
        /// What was read or listed, or whether the write took effect.
        result: StoreResult,
    },
    /// A call to a backend server's fence register ended.
    Register {
        /// The ID given in [`Effect::Register`].
        call: CallId,
        /// The register's state, or how the call failed.
        result: RegisterResult,
    },
    /// An order to a backend server ended.
    Order {
        /// The ID given in [`Effect::Order`].
        exchange: ExchangeId,
        /// The server's answer, or whether the order may have arrived.
        result: OrderResult,
    },
    /// Requests a graceful shutdown that interrupts no request.
    Stop,
}

/// An output of a host: an action for the program to perform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Return the outcome of a request to its caller.
    Respond {
        /// The ID given in [`Event::Request`].
        id: RequestId,
        /// The server's answer, or whether the request may have run.
        outcome: Outcome,
    },
    /// Send a message to a host.
    Send {
        /// The host process that the message is for.
        to: HostId,
        /// The address at which it listens, if known.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Send a message to the host that listens at a seed address.
    Probe {
        /// The seed address.
        address: SocketAddr,
        /// A [`Message::Pull`], which requests the receiver's configuration.
        message: Message,
    },
    /// Call the object store.
    Store {
        /// The ID under which its result is returned.
        call: CallId,
        /// What to read, write or wait for.
        call_kind: StoreCall,
    },
    /// Call a backend server's fence register.
    Register {
        /// The ID under which its result is returned.
        call: CallId,
        /// The address at which the server listens.
        address: SocketAddr,
        /// The grant; `None` only queries the register.
        grant: Option<Grant>,
    },
    /// Send an order to a backend server.
    Order {
        /// The ID under which its result is returned.
        exchange: ExchangeId,
        /// The server that owns the shard of the request's key.
        server: ServerKey,
        /// The address at which the server listens.
        address: SocketAddr,
        /// The server's boot number; the order must not reach a restarted server.
        boot: u64,
        /// The shard, token and deadline by which the server accepts or rejects the request.
        order: Order,
        /// The request for the server to run.
        request: Request,
    },
    /// Abort an order.
    Cancel {
        /// The ID given in [`Effect::Order`].
        exchange: ExchangeId,
    },
    /// Write a log record.
    Log(LogRecord),
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}

/// A call to the object store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreCall {
    /// Read one object.
    Get {
        /// The key of the object to read.
        key: ObjectKey,
    },
    /// Write one object if its revision is the expected one.
    Put {
        /// The key of the object to write.
        key: ObjectKey,
        /// The revision it must have; zero for an object that must not exist.
        expected: Revision,
        /// The new value.
        value: bytes::Bytes,
    },
    /// Read the platform's list of hosts, which may be stale.
    Hosts,
    /// Wait for configuration objects that are written after a revision.
    Watch {
        /// The last revision that is already known.
        after: Revision,
    },
}

/// The result of a call to the object store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreResult {
    /// The current object; without a value if it does not exist.
    Read(Object),
    /// The write took effect at this revision.
    Written(Revision),
    /// The object had another revision; the write did not take effect.
    Conflict,
    /// The peer addresses of the listed hosts, except those that are shutting down.
    Hosts(Vec<SocketAddr>),
    /// Configuration objects and the revision up to which they are complete.
    Changes {
        /// The objects written after the revision given in [`StoreCall::Watch`].
        objects: Vec<Object>,
        /// The revision up to which the receiver is complete after applying them.
        complete: Revision,
    },
    /// The call failed or timed out; a write may have taken effect.
    Failed,
}

/// A grant of shards to a backend server, with the expiry of its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The fence token.
    pub token: FenceToken,
    /// Increases with each grant under a token, so that a delayed grant is ignored.
    pub sequence: u64,
    /// When the lease expires, by the server's clock.
    pub expires: Time,
    /// The shards, with their epochs.
    pub shards: Vec<(u32, Epoch)>,
}

/// The result of a call to a fence register.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RegisterResult {
    /// The register's state.
    State(RegisterState),
    /// The call was rejected because this higher token is registered.
    Fenced(FenceToken),
    /// No connection could be established, so the call did not arrive.
    Unreachable,
    /// The call failed or timed out; a grant may have arrived.
    Failed,
}

/// The state of a backend server and of its fence register, which holds the last grant that the
/// server accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisterState {
    /// The server's boot number; differs on each start.
    pub boot: u64,
    /// The registered token.
    pub token: FenceToken,
    /// The sequence number of the grant in force under that token.
    pub sequence: u64,
    /// The number of orders that are running.
    pub running: u32,
    /// Milliseconds for which the server has been draining and asking for no new orders.
    #[serde(default)]
    pub draining: Option<u64>,
}
