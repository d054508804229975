//! What a host is told and what it wants done.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{CallId, Epoch, ExchangeId, HostId, RequestId, Revision, ServerKey, Token};
use crate::log::Record;
use crate::message::Message;
use crate::object::{Object, ObjectKey};
use crate::request::{Order, OrderResult, Outcome, Request};
use crate::time::Time;

/// Something that happened outside the core.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// Subscribed time has come.
    Tick,
    /// A caller sent a request.
    Request {
        /// The number under which its outcome is returned.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// A caller went away.
    Cancelled {
        /// The request that nobody waits for any more.
        id: RequestId,
    },
    /// Another host sent a message.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The connection to another host broke, or could not be made.
    PeerLost {
        /// The other host.
        host: HostId,
    },
    /// The object store answered, or did not.
    Store {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// A backend server's fence register answered, or did not.
    Register {
        /// The call.
        call: CallId,
        /// Its result.
        result: RegisterResult,
    },
    /// An order ended.
    Order {
        /// The order.
        exchange: ExchangeId,
        /// Its result.
        result: OrderResult,
    },
    /// The host has to stop, without cutting a request.
    Stop,
}

/// Something the core wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Effect {
    /// Return an outcome to a caller.
    Respond {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Send a message to a host.
    Send {
        /// The receiver.
        to: HostId,
        /// Where it listens, where that is known.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Send a message to whichever host listens at a seed address.
    Probe {
        /// The seed address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Call the object store.
    Store {
        /// The number under which its result is returned.
        call: CallId,
        /// The call.
        call_kind: StoreCall,
    },
    /// Call a backend server's fence register.
    Register {
        /// The number under which its result is returned.
        call: CallId,
        /// Where the server listens.
        address: SocketAddr,
        /// The grant; `None` only asks what the register holds.
        grant: Option<Grant>,
    },
    /// Give an order to a backend server.
    Order {
        /// The number under which its result is returned.
        exchange: ExchangeId,
        /// The server.
        server: ServerKey,
        /// Where the server listens.
        address: SocketAddr,
        /// The server's boot number; an order is not for a server that started anew.
        boot: u64,
        /// The order.
        order: Order,
        /// The request.
        request: Request,
    },
    /// Break off an order.
    Cancel {
        /// The order.
        exchange: ExchangeId,
    },
    /// Write a log line.
    Log(Record),
    /// Everything was handed over; the process may end.
    Stopped,
}

/// A call to the object store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreCall {
    /// Read one object.
    Get {
        /// The object.
        key: ObjectKey,
    },
    /// Write one object if it is still at a revision.
    Put {
        /// The object.
        key: ObjectKey,
        /// The revision it has to be at; zero for an object that must not exist.
        expected: Revision,
        /// The new value.
        value: bytes::Bytes,
    },
    /// Read the platform's list of hosts, which lags.
    Hosts,
    /// Wait for configuration objects written after a revision.
    Watch {
        /// The revision.
        after: Revision,
    },
}

/// How a call to the object store ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreResult {
    /// The object as it is; without a value when it does not exist.
    Read(Object),
    /// The write took effect at this revision.
    Written(Revision),
    /// The write did not take effect.
    Conflict,
    /// Where the listed hosts listen for others, but for those about to leave.
    Hosts(Vec<SocketAddr>),
    /// Configuration objects and the revision up to which they are complete.
    Changes {
        /// The objects.
        objects: Vec<Object>,
        /// The revision.
        complete: Revision,
    },
    /// No answer; a write may have taken effect.
    Failed,
}

/// A lease on shards for a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The fence token.
    pub token: Token,
    /// Rises with each grant under a token, so that a delayed one is ignored.
    pub sequence: u64,
    /// When the lease ends, by the server's clock.
    pub expires: Time,
    /// The shards, with their epochs.
    pub shards: Vec<(u32, Epoch)>,
}

/// How a call to a fence register ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RegisterResult {
    /// The register's state.
    State(RegisterState),
    /// A higher token is registered.
    Fenced(Token),
    /// No connection could be made, so the call did not arrive.
    Unreachable,
    /// No answer; a grant may have arrived.
    Failed,
}

/// What a backend server says of itself along with its register.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisterState {
    /// Drawn anew at each start of the server.
    pub boot: u64,
    /// The registered token.
    pub token: Token,
    /// The number of the grant that the server follows under that token.
    pub sequence: u64,
    /// Orders that run now.
    pub running: u32,
    /// For how many milliseconds the server has been about to leave and wanted no new work.
    #[serde(default)]
    pub draining: Option<u64>,
}
