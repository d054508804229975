//! Fake servers, with what they say of themselves.

use std::io;
use std::time::{Duration, Instant};

use amaranthshunt_support::platform::{FakeUpstream, FaultProxy, LinkFault};

use crate::disturbances::Disturbances;

/// Interval at which a server writes its entry if another program has changed it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// A fake server and the proxy in front of it.
pub(crate) struct Server {
    pub(crate) upstream: FakeUpstream,
    pub(crate) proxy: FaultProxy,
    pub(crate) is_up: bool,
    /// Limits that it has named.
    pub(crate) limits: Vec<NamedLimit>,
    /// Faults of the links to it.
    pub(crate) disturbances: Disturbances,
    /// When it ends, if it leaves.
    ends_at: Option<Instant>,
    /// When it next writes its entry, if that is odd.
    next_heartbeat: Option<Instant>,
}

/// A limit that a server names for some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedLimit {
    /// Requests per second.
    pub(crate) per_second: f64,
    pub(crate) named: Instant,
    /// When it ended; `None` while it lasts.
    pub(crate) ended: Option<Instant>,
}

impl Server {
    pub(crate) fn new(upstream: FakeUpstream, proxy: FaultProxy) -> Self {
        Self {
            upstream,
            proxy,
            is_up: true,
            limits: Vec::new(),
            disturbances: Disturbances::default(),
            ends_at: None,
            next_heartbeat: None,
        }
    }

    /// Sets the fault of the links to the server.
    pub(crate) fn set_link_fault(&mut self, fault: LinkFault) {
        self.proxy.set_fault(fault);
        match fault {
            LinkFault::None => self.disturbances.end(),
            _ => self.disturbances.begin(),
        }
    }

    /// Lets the server name a limit, or none.
    pub(crate) fn set_limit(&mut self, per_second: Option<f64>) {
        let now = Instant::now();
        if let Some(limit) = self.limits.last_mut() {
            limit.ended.get_or_insert(now);
        }
        let text = per_second.map(|number| number.to_string());
        self.upstream.set_limit(text.as_deref());
        self.limits.extend(per_second.map(|per_second| NamedLimit {
            per_second,
            named: now,
            ended: None,
        }));
    }

    /// Lets the server say that it leaves, in its responses and in the store or in one of them only,
    /// and end after some time.
    pub(crate) fn leave(&mut self, in_responses: bool, in_store: bool, time: Duration) {
        if in_responses {
            self.upstream.set_leaving(Some("1"));
        }
        if in_store {
            self.upstream.set_draining(true);
        }
        self.ends_at.get_or_insert(Instant::now() + time);
    }

    /// Records that another program has overwritten the server's entry, which it writes anew with its
    /// next heartbeat.
    pub(crate) fn note_odd_entry(&mut self) {
        self.next_heartbeat
            .get_or_insert(Instant::now() + HEARTBEAT_INTERVAL);
    }

    /// Does what is due: ends the process of a server that leaves, writes an odd entry anew.
    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        if self.ends_at.is_some_and(|at| at <= now) {
            self.crash();
        }
        if self.next_heartbeat.take_if(|at| *at <= now).is_some() && self.is_up {
            self.upstream.publish();
        }
    }

    /// Ends the process.
    pub(crate) fn crash(&mut self) {
        if self.is_up {
            self.set_limit(None);
            self.upstream.crash();
            self.is_up = false;
            self.ends_at = None;
        }
    }

    /// Ends what the server is in need of; one that leaves or has ended starts its next life.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub(crate) async fn recover(&mut self) -> io::Result<()> {
        if self.ends_at.is_some() {
            self.crash();
        }
        self.set_limit(None);
        self.upstream.set_retry_after(None);
        if !self.is_up {
            self.upstream.restart().await?;
            self.is_up = true;
        }
        Ok(())
    }
}
