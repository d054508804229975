//! What one host counts towards the quota of a tenant.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{RefusalCause, RoutePlan, Router};

use crate::quotas::{START_MS, plan_of, start_host};

const NOW: Time = Time::from_millis(START_MS);
const TIME_LEFT: Duration = Duration::from_secs(2);

/// A host that has all of the part that hosts divide, and nobody to ask for more.
fn only_host() -> (Router, RoutePlan) {
    let mut host = start_host(0, START_MS);
    let plan = plan_of(&mut host, START_MS, "key-acme");
    host.set_hosts(1);
    host.update_quota_shares(NOW, NOW, false, Vec::new());
    (host, plan)
}

/// Sends requests until one is refused; returns how many were sent.
fn send_all(host: &mut Router, plan: &RoutePlan, sends: usize) -> usize {
    let mut sent = 0;
    while host
        .select_server(NOW, plan, None, &[], sends, TIME_LEFT)
        .is_ok()
    {
        sent += 1;
    }
    sent
}

// Guards against a quota that is exceeded by retries: each that arrives may run.
#[test]
fn retries_count_towards_the_quota() {
    let (mut first, plan) = only_host();
    let (mut second, _) = only_host();

    let sent = send_all(&mut first, &plan, 0);
    let retried = send_all(&mut second, &plan, 1);

    assert!(sent > 1);
    assert_eq!(sent, retried);
}

// Guards against refusals below the quota: requests that servers turn away are sent again.
#[test]
fn request_that_was_not_executed_does_not_count() {
    let (mut host, plan) = only_host();
    let sent = send_all(&mut host, &plan, 0);

    host.return_quota(NOW, &plan, NOW);
    let after_return = send_all(&mut host, &plan, 0);
    host.return_quota(NOW, &plan, Time::ZERO);
    let after_unknown = send_all(&mut host, &plan, 0);

    assert_eq!([sent > 1, after_return == 1, after_unknown == 0], [true; 3]);
}

// Guards against callers that return in vain, or all at the same time.
#[test]
fn refused_callers_return_one_after_the_other_once_there_is_room() {
    let (mut host, plan) = only_host();
    send_all(&mut host, &plan, 0);

    let first = host.quota_refusal(NOW, &plan);
    let second = host.quota_refusal(NOW, &plan);
    let at_return = NOW + first.retry_after.unwrap();
    let chosen = host.select_server(at_return, &plan, None, &[], 0, TIME_LEFT);

    assert_eq!(first.cause, RefusalCause::Quota);
    assert!(first.retry_after <= second.retry_after);
    assert!(chosen.is_ok());
}

// Guards against a change for tenants without a quota.
#[test]
fn tenant_without_quota_is_not_limited() {
    let mut host = start_host(0, START_MS);
    let plan = plan_of(&mut host, START_MS, "key-free");
    let (now, left) = (Time::from_millis(START_MS), Duration::from_secs(2));

    let refused = (0..1_000)
        .filter(|_| {
            host.record_tenant_demand(&plan);
            host.select_server(now, &plan, None, &[], 0, left).is_err()
        })
        .count();

    assert_eq!(refused, 0);
    assert_eq!(host.take_tenant_usage(now), []);
}
