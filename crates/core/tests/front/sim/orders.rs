//! Orders on their way to servers, their execution, and the replies.

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Order, OrderReply};
use amaranthshunt_core::ids::CallId;
use rand::Rng;

use super::{Delivery, Sim};

impl Sim {
    pub(super) fn deliver_order(
        &mut self,
        (host, granter): (usize, u64),
        order: Order,
        sent: u64,
        late: Option<u64>,
    ) {
        let (call, id) = match &order {
            Order::Grant { call, server, .. } | Order::Release { call, server, .. } => {
                (*call, server.clone())
            }
            _ => return,
        };
        let is_pending = self.pending_calls.contains_key(&(host, granter, call.0));
        // An aborted connection drops the order that it carried; an order already being executed
        // late is completed.
        if !is_pending && late.is_none() {
            return;
        }
        let index = self
            .backends
            .iter()
            .position(|backend| backend.id == id)
            .unwrap();
        if late.is_some_and(|incarnation| incarnation != self.backends[index].incarnation) {
            return;
        }
        if !self.backends[index].up || (late.is_none() && self.is_server_cut(host, index)) {
            return;
        }
        if late.is_none() && self.late_execution && self.rng.random_bool(0.2) {
            let after = self.rng.random_range(2_000..12_000);
            let arrival = self.now;
            let incarnation = self.backends[index].incarnation;
            self.delay_order(order, incarnation, arrival, after);
            return;
        }
        let arrival = if late.is_some() { sent } else { self.now };
        let reply = self.execute_order(index, &order, arrival);
        if is_pending && !self.is_dropped(0.04) {
            let after = self.rng.random_range(1..60);
            self.push(
                after,
                Delivery::Answer {
                    host,
                    call,
                    sent,
                    reply,
                },
            );
        }
    }

    /// Delays the execution of an order; its lease counts from the arrival, and no host gets the
    /// reply.
    fn delay_order(&mut self, order: Order, incarnation: u64, arrival: u64, after: u64) {
        let host = usize::MAX;
        self.push(
            after,
            Delivery::Order {
                host,
                granter: 0,
                order,
                sent: arrival,
                late: Some(incarnation),
            },
        );
    }

    fn execute_order(&mut self, index: usize, order: &Order, arrival: u64) -> OrderReply {
        match order {
            Order::Grant {
                from,
                to,
                fence,
                lease: hold,
                ..
            } => {
                // The slowest clock that is allowed.
                let until = arrival + hold.as_millis() as u64 * 102 / 100;
                if until <= self.now {
                    return OrderReply::Done(None);
                }
                self.check_fence_token(index, *from, *to, *fence);
                if self.backends[index].grant(*from, *to, *fence, until) {
                    OrderReply::Done(None)
                } else {
                    OrderReply::Fenced
                }
            }
            Order::Release {
                from, to, fence, ..
            } => {
                self.backends[index].remove_keys(*from, *to, *fence);
                OrderReply::Done(Some("handed over".to_owned()))
            }
            _ => OrderReply::Done(None),
        }
    }

    /// Checks that no other running server has accepted the same or a higher token for a key.
    fn check_fence_token(&mut self, index: usize, from: u16, to: u16, fence: u64) {
        let newer = self.backends[index]
            .accepted
            .iter()
            .any(|(a, b, seen)| *a <= to && from <= *b && *seen > fence);
        if newer {
            return;
        }
        for (other, backend) in self.backends.iter().enumerate() {
            let above = backend
                .accepted
                .iter()
                .find(|(a, b, seen)| *a <= to && from <= *b && *seen >= fence);
            if other != index && above.is_some() && backend.up {
                let id = &self.backends[index].id;
                self.violation = Some(format!(
                    "at {}: {id} accepts {from}-{to} with token {fence}, {} has accepted {above:?}",
                    self.now, backend.id
                ));
                return;
            }
        }
    }

    pub(super) fn deliver_reply(
        &mut self,
        host: usize,
        call: CallId,
        sent: u64,
        reply: OrderReply,
    ) {
        if self.is_frozen(host) {
            if self.entry_hosts[host].up {
                self.push(
                    50,
                    Delivery::Answer {
                        host,
                        call,
                        sent,
                        reply,
                    },
                );
            }
            return;
        }
        let number = self.entry_hosts[host].granters;
        if self.pending_calls.remove(&(host, number, call.0)).is_none() {
            return;
        }
        let now = self.time();
        if let Some(granter) = &mut self.entry_hosts[host].granter {
            granter.handle_reply(now, call, Time::from_millis(sent), reply);
        }
    }
}
