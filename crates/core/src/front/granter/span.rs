//! Keys that share a holder, and how far they have come on the way to another one.

use std::sync::Arc;

use super::REPEAT;
use super::order::{GranterTiming, OrderReply};
use crate::ids::CallId;
use crate::time::Time;

#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) server: Arc<str>,
    pub(super) born: Option<u64>,
    pub(super) fence: u64,
    pub(super) handover: Option<String>,
    /// Whether the server is known or taken to hold the keys.
    pub(super) confirmed: bool,
    /// Whether an earlier granter may still renew what the server holds.
    pub(super) presumed: bool,
    /// Whether the server has taken this very fence token.
    pub(super) bound: bool,
    pub(super) call: Option<CallId>,
    pub(super) next: Time,
    /// Grants in a row without an answer.
    pub(super) failures: u32,
    /// Until when the server holds the keys at least.
    pub(super) sure_until: Time,
    /// Until when it holds them at most.
    pub(super) worst_until: Time,
}

impl Holder {
    /// Takes in how a grant ended; `fence` is a new token, for where the old one is used up.
    ///
    /// A token belongs to one connection: where that is gone, the server may have a new life,
    /// which must get a higher one.
    pub(super) fn answered(
        &mut self,
        now: Time,
        sent: Time,
        timing: &GranterTiming,
        reply: &OrderReply,
        fence: u64,
    ) {
        self.next = self.next.min(now + REPEAT);
        match reply {
            OrderReply::Done(_) => {
                self.next = sent + timing.renewal;
                self.confirmed = true;
                self.bound = true;
                self.presumed = false;
                self.failures = 0;
                self.handover = None;
                self.sure_until = self.sure_until.max(sent + timing.hold);
                self.worst_until = self.worst_until.max(now + timing.worst());
                return;
            }
            OrderReply::Reconnected => self.next = now,
            OrderReply::Unknown => {
                self.failures += 1;
                self.worst_until = self.worst_until.max(now + timing.worst());
            }
            OrderReply::Unsent | OrderReply::Wrong => self.failures += 1,
            OrderReply::Fenced => {}
        }
        self.bound = false;
        self.fence = fence;
    }
}

#[derive(Clone, Debug)]
pub(super) enum Stage {
    Held,
    /// A move waits for the record.
    Recording {
        target: Arc<str>,
        version: u64,
    },
    /// The present holder is asked to let go.
    Releasing {
        target: Arc<str>,
        call: Option<CallId>,
        tries: u32,
        due: Time,
    },
    /// Nothing but time can end the present hold.
    Expiring {
        target: Arc<str>,
        at: Time,
        handover: Option<String>,
        /// Whether nobody holds the keys after that time, whoever else may grant.
        released: bool,
    },
}

impl Stage {
    /// Waits until a time without anything to hand over.
    pub(super) fn expiring(target: Arc<str>, at: Time) -> Self {
        Self::Expiring {
            target,
            at,
            handover: None,
            released: false,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Span {
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) holder: Option<Holder>,
    /// When keys without a holder are free, and what their last one handed over.
    pub(super) free_at: Time,
    pub(super) left: Option<String>,
    /// A server that may hold the keys from an earlier granter's time.
    pub(super) past: Option<Arc<str>>,
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
            | Stage::Expiring { target, .. } => Some(target),
        }
    }

    /// Whether it stays where it is and no order for it is under way.
    pub(super) fn is_settled(&self) -> bool {
        let waits = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.call.is_some());
        !self.is_moving() && !waits
    }

    pub(super) fn is_moving(&self) -> bool {
        !matches!(self.stage, Stage::Held)
    }

    /// The server that requests for the keys go to.
    pub(super) fn serving(&self) -> Option<&Arc<str>> {
        let held = matches!(self.stage, Stage::Held | Stage::Recording { .. });
        let holder = self
            .holder
            .as_ref()
            .filter(|holder| held && holder.confirmed)?;
        Some(&holder.server)
    }

    /// Cuts the span so that one of the parts is the given range.
    pub(super) fn cut(self, from: u16, to: u16) -> Vec<Self> {
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
