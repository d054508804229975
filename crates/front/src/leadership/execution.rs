//! Execution of the granter's orders.

use std::sync::Arc;

use amaranthshunt_core::front::{Order, OrderReply};
use amaranthshunt_core::ids::CallId;
use amaranthshunt_platform as platform;
use async_std::task;

use super::{LeaderState, write_record};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::logs::write_log;
use crate::orders::OrderRequest;

/// Starts the execution of an order; its outcome is reported to the granter.
pub(super) fn execute_order(host: &Arc<EntryHost>, leader: &Arc<LeaderState>, order: Order) {
    match order {
        Order::Log(record) => write_log(&host.settings.name, &record),
        Order::Write(placement) => {
            task::spawn(write_record(host.clone(), leader.clone(), placement));
        }
        Order::Grant {
            call,
            server,
            from,
            to,
            fence,
            lease,
            handover,
            is_renewal,
            ..
        } => {
            host.counters.grants.add();
            let body = platform::grant_body(from, to, fence, lease, handover.as_deref());
            send_order(
                host,
                leader,
                call,
                &server,
                platform::grant_path(),
                body,
                is_renewal,
            );
        }
        Order::Release {
            call,
            server,
            from,
            to,
            fence,
            ..
        } => {
            host.counters.releases.add();
            let body = platform::release_body(from, to, fence);
            send_order(
                host,
                leader,
                call,
                &server,
                platform::release_path(),
                body,
                false,
            );
        }
    }
}

fn send_order(
    host: &Arc<EntryHost>,
    leader: &Arc<LeaderState>,
    call: CallId,
    server: &str,
    path: &'static str,
    body: Vec<u8>,
    requires_open_connection: bool,
) {
    let entry = host.with_router(|router, _| {
        let servers = router.servers();
        let key = servers.find(server)?;
        servers.get(key).map(|standing| standing.entry.clone())
    });
    let (host, leader) = (host.clone(), leader.clone());
    let Some(entry) = entry else {
        let reply = OrderReply::NotSent;
        let now = clock::now();
        lock(&leader.granter).handle_reply(now, call, now, reply);
        return;
    };
    let request = OrderRequest {
        entry,
        path,
        body,
        requires_open: requires_open_connection,
    };
    task::spawn(async move {
        let may_send = || leader.may_send_orders(clock::now());
        let (sent, reply) = leader.orders.send(&host, &request, may_send).await;
        if reply == OrderReply::NotSent && leader.may_send_orders(clock::now()) {
            host.with_router(|router, now| router.record_failed_order(now, &request.entry.id));
        }
        lock(&leader.granter).handle_reply(clock::now(), call, sent, reply);
    });
}
