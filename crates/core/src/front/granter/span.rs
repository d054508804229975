//! A span of keys with a common holder, and its progress towards another one.

use std::sync::Arc;

use super::RETRY_DELAY;
use super::order::{GranterTiming, OrderReply};
use crate::ids::CallId;
use crate::time::Time;

/// The server that holds the keys of a span or is being granted them.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) server: Arc<str>,
    pub(super) start_id: Option<u64>,
    pub(super) fence: u64,
    pub(super) handover: Option<String>,
    /// Whether the server is known, or assumed from the record, to hold the keys.
    pub(super) confirmed: bool,
    /// Whether an earlier granter may still renew the lease.
    pub(super) inherited: bool,
    /// Whether the server has accepted the current fence token.
    pub(super) token_accepted: bool,
    /// Since when it has accepted tokens of this granter, without interruption.
    pub(super) accepted_since: Option<Time>,
    pub(super) pending_call: Option<CallId>,
    /// Whether the pending call has the token of an earlier term.
    pub(super) pending_outdated: bool,
    pub(super) next_grant: Time,
    /// Consecutive grants that failed.
    pub(super) failed_grants: u32,
    /// Until when the server holds the keys at least, if it has accepted a grant.
    pub(super) earliest_expiry: Time,
    /// Until when it may hold them at most.
    pub(super) latest_expiry: Time,
}

impl Holder {
    /// Replaces the token by one of a new term, since an earlier granter may have granted the keys to
    /// the same server.
    pub(super) fn inherit(&mut self, now: Time, fence: u64) {
        self.pending_outdated = self.pending_call.is_some();
        self.fence = fence;
        self.token_accepted = false;
        self.accepted_since = None;
        self.inherited = true;
        self.next_grant = now;
    }

    /// Records the outcome of a grant; `fence` is a new token that replaces one that must not be
    /// used again.
    ///
    /// A token is valid for one connection: after that is closed, the server may have restarted,
    /// and the new incarnation must get a higher token.
    pub(super) fn record_reply(
        &mut self,
        now: Time,
        sent: Time,
        timing: &GranterTiming,
        reply: &OrderReply,
        fence: u64,
    ) {
        self.next_grant = self.next_grant.min(now + RETRY_DELAY);
        match reply {
            OrderReply::Done(_) => {
                self.confirmed = true;
                if !std::mem::take(&mut self.pending_outdated) {
                    self.next_grant = sent + timing.renewal_interval;
                    self.token_accepted = true;
                    self.accepted_since.get_or_insert(now);
                    self.inherited = false;
                }
                self.failed_grants = 0;
                self.handover = None;
                self.earliest_expiry = self.earliest_expiry.max(sent + timing.lease);
                self.latest_expiry = self.latest_expiry.max(now + timing.max_lease());
                return;
            }
            OrderReply::Reconnected => self.next_grant = now,
            OrderReply::Unknown => {
                self.failed_grants += 1;
                self.latest_expiry = self.latest_expiry.max(now + timing.max_lease());
            }
            OrderReply::NotSent | OrderReply::WrongServer => self.failed_grants += 1,
            OrderReply::Fenced => {}
        }
        self.pending_outdated = false;
        self.token_accepted = false;
        self.accepted_since = None;
        self.fence = fence;
    }
}

/// Progress of a span towards its next holder.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    Held,
    /// The move waits for the record to be written.
    Recording {
        target: Arc<str>,
        version: u64,
    },
    /// The current holder is asked to release the keys.
    Releasing {
        target: Arc<str>,
        pending_call: Option<CallId>,
        attempts: u32,
        retry_at: Time,
    },
    /// The keys become free at a known time, at the latest when the current lease expires.
    Expiring {
        target: Arc<str>,
        at: Time,
        handover: Option<String>,
        /// Whether nobody holds the keys after that time, even if another granter is active.
        released: bool,
    },
    /// The holder's lease has run out, unless an earlier granter still renews it.
    Silent {
        target: Arc<str>,
    },
}

impl Stage {
    /// Waits for the expiry of a lease, without handover data.
    pub(super) fn expiring(target: Arc<str>, at: Time) -> Self {
        Self::Expiring {
            target,
            at,
            handover: None,
            released: false,
        }
    }
}

/// A key range with a common holder.
#[derive(Clone, Debug)]
pub(super) struct Span {
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) holder: Option<Holder>,
    /// From when the keys may be granted, if they have no holder.
    pub(super) free_at: Time,
    /// Handover data of the last holder, for the next one.
    pub(super) pending_handover: Option<String>,
    /// A server that may hold the keys since the term of an earlier granter.
    pub(super) previous_server: Option<Arc<str>>,
    pub(super) stage: Stage,
}

impl Span {
    pub(super) fn width(&self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    pub(super) fn target(&self) -> Option<&Arc<str>> {
        match &self.stage {
            Stage::Held => self.holder.as_ref().map(|holder| &holder.server),
            Stage::Recording { target, .. }
            | Stage::Releasing { target, .. }
            | Stage::Expiring { target, .. }
            | Stage::Silent { target } => Some(target),
        }
    }

    /// Whether the span is not moving and has no order in flight.
    pub(super) fn is_settled(&self) -> bool {
        let has_pending_call = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.pending_call.is_some());
        !self.is_moving() && !has_pending_call
    }

    pub(super) fn is_moving(&self) -> bool {
        !matches!(self.stage, Stage::Held)
    }

    /// The server that requests for the keys are routed to.
    pub(super) fn serving(&self) -> Option<&Arc<str>> {
        let held = matches!(self.stage, Stage::Held | Stage::Recording { .. });
        let holder = self
            .holder
            .as_ref()
            .filter(|holder| held && holder.confirmed)?;
        Some(&holder.server)
    }

    /// Splits the span so that one of the parts is `from..=to`.
    pub(super) fn split_out(self, from: u16, to: u16) -> Vec<Self> {
        let mut parts = Vec::new();
        if self.from < from {
            parts.push(Self {
                to: from - 1,
                ..self.clone()
            });
        }
        parts.push(Self {
            from,
            to,
            ..self.clone()
        });
        if to < self.to {
            parts.push(Self {
                from: to + 1,
                ..self
            });
        }
        parts
    }
}
