//! Replies to a granter's orders, and reports of servers without their keys.

use super::span::Stage;
use super::{Granter, OrderReply, RETRY_DELAY, UnansweredGrant};
use crate::ids::CallId;
use crate::log::EventCode;
use crate::time::Time;

impl Granter {
    /// Handles a request that a server rejected because it does not hold the key.
    ///
    /// The server may have restarted without notice, so its keys are granted again with a new
    /// fence token.
    pub fn handle_missing_key(&mut self, now: Time, service: &str, key: u16, server: &str) {
        let fence = self.new_fence_token();
        let spans = self.services.get_mut(service);
        let span = spans
            .into_iter()
            .flatten()
            .find(|span| span.from <= key && key <= span.to);
        let Some(span) = span else { return };
        if !matches!(span.stage, Stage::Held) {
            return;
        }
        if let Some(holder) = span.holder.as_mut()
            && &*holder.server == server
            && holder.pending_call.is_none()
        {
            holder.fence = fence;
            holder.token_accepted = false;
            holder.accepted_since = None;
            holder.confirmed = false;
            holder.next_grant = now;
        }
    }

    /// Handles the outcome of an order.
    pub fn handle_reply(&mut self, now: Time, call: CallId, sent: Time, reply: OrderReply) {
        let timing = self.timing;
        let fence = self.new_fence_token();
        let mut fenced = None;
        for span in self.services.values_mut().flatten() {
            if let Stage::Releasing {
                target,
                pending_call: pending,
                attempts,
                ..
            } = &span.stage
                && *pending == Some(call)
            {
                let (target, attempts) = (target.clone(), *attempts);
                let is_inherited = span.holder.as_ref().is_some_and(|holder| holder.inherited);
                span.stage = match &reply {
                    OrderReply::Done(_) if is_inherited => Stage::Recording {
                        target,
                        version: self.written_version,
                    },
                    OrderReply::Done(handover) => {
                        let unanswered = self.unanswered_grants.iter().filter(|grant| {
                            let holder = span.holder.as_ref();
                            let may_apply = holder.is_some_and(|holder| {
                                let is_rejected =
                                    holder.token_accepted && grant.fence < holder.fence;
                                holder.server == grant.server && !is_rejected
                            });
                            may_apply && grant.from <= span.to && span.from <= grant.to
                        });
                        let at = unanswered.map(|grant| grant.until).fold(now, Time::max);
                        Stage::Expiring {
                            target,
                            at,
                            handover: handover.clone(),
                            released: true,
                        }
                    }
                    _ => Stage::Releasing {
                        target,
                        pending_call: None,
                        attempts,
                        retry_at: now + RETRY_DELAY,
                    },
                };
                return;
            }
            let Some(holder) = span
                .holder
                .as_mut()
                .filter(|holder| holder.pending_call == Some(call))
            else {
                continue;
            };
            // If a span was split while the call was in flight, every part has the same pending
            // call.
            holder.pending_call = None;
            let used_fence = holder.fence;
            holder.record_reply(now, sent, &timing, &reply, fence);
            match reply {
                OrderReply::Unknown => {
                    self.unanswered_grants.push(UnansweredGrant {
                        server: holder.server.clone(),
                        from: span.from,
                        to: span.to,
                        fence: used_fence,
                        until: now + timing.max_lease(),
                    });
                }
                OrderReply::Fenced => fenced = Some(holder.server.clone()),
                _ => {}
            }
        }
        if let Some(server) = fenced {
            // Another host may be the leader; no orders are issued until the record confirms this host
            // again. Its followers need not know of the other one.
            self.log(
                EventCode::Fenced,
                &server,
                "grant rejected; no orders until confirmed as granting host",
            );
            self.confirmed_at = Time::ZERO;
            self.fenced_at = Some(now);
        }
    }
}
