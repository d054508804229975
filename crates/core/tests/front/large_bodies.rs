//! Requests with large bodies, on hosts with slow links.
//!
//! Guards against the load of uploads (60 KB on average, up to 360 KB) through hosts with 112 MB and
//! 10 Mbit/s: hosts accepted more than their links could pass on, and sent bodies to other regions while
//! servers nearby were only a little slower.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, Credentials, LoadReport, RefusalCause, RoutePlan, Router, Target,
};

use crate::fixture::{config, route, router_with, server};

const START: Time = Time::from_millis(1_000);
/// 10 Mbit/s.
const LINK_RATE: f64 = 1.25e6;
const MEMORY: f64 = 112e6;

/// A host with servers in its own domain, region and another region, and a route of uploads.
fn host(servers: &[(&str, &str)], slots: u32) -> (Router, RoutePlan) {
    let mut router = router_with("h1", |settings| {
        settings.link_rate = Some(LINK_RATE);
        settings.memory = MEMORY;
    });
    let mut uploads = route("uploads", "/u/", "orders");
    uploads.large_bodies = true;
    uploads.priority = 0;
    router.update_config(Arc::new(config(1, vec![uploads])));
    router.set_hosts(1);
    let entries = servers.iter().map(|(id, domain)| {
        let mut entry = server(id, "orders", domain, 1);
        entry.slots = slots;
        entry
    });
    router.replace_servers(START, entries.collect(), &[]);
    let plan = router.plan(START, "shop", "/u/x", Credentials::default());
    (router, plan.unwrap())
}

fn send(
    router: &mut Router,
    plan: &RoutePlan,
    bytes: usize,
    left: u64,
) -> Result<Target, RefusalCause> {
    let plan = plan.clone().with_body(bytes);
    let left = Duration::from_millis(left);
    router
        .select_server(START, &plan, None, &[], 0, left)
        .map_err(|refusal| refusal.cause)
}

#[test]
fn bytes_in_flight_are_bounded_per_server_and_in_total() {
    let servers: Vec<String> = (0..10).map(|number| format!("s{number}")).collect();
    let servers: Vec<(&str, &str)> = servers.iter().map(|id| (&**id, "east-a")).collect();
    let (mut router, plan) = host(&servers, 40);
    let mut sent = Vec::new();
    let refusal = loop {
        match send(&mut router, &plan, 100_000, 2_000) {
            Ok(target) => sent.push(target),
            Err(cause) => break cause,
        }
    };

    assert_eq!(refusal, RefusalCause::Busy);
    // Two seconds of the link.
    assert_eq!(router.bytes_in_flight(), 2_500_000);
    for (id, _) in servers {
        let at_server = sent.iter().filter(|target| &*target.entry.id == id);
        assert!(
            at_server.count() <= 6,
            "more than half a second of the link"
        );
    }
    for target in &sent {
        router.record_outcome(START, target, AttemptOutcome::Abandoned, None);
    }
    assert_eq!(router.bytes_in_flight(), 0);
}

#[test]
fn single_body_is_sent_whatever_its_length() {
    let (mut router, plan) = host(&[("s0", "east-a")], 40);

    assert!(send(&mut router, &plan, 2_000_000, 2_000).is_ok());
    assert_eq!(
        send(&mut router, &plan, 1, 2_000).unwrap_err(),
        RefusalCause::Busy
    );
}

#[test]
fn body_that_the_link_cannot_send_in_time_is_refused_at_once() {
    let (mut router, plan) = host(&[("s0", "east-a")], 40);

    // 300 KB take 240 ms.
    assert_eq!(
        send(&mut router, &plan, 300_000, 200).unwrap_err(),
        RefusalCause::Deadline
    );
    assert!(send(&mut router, &plan, 300_000, 300).is_ok());
}

#[test]
fn request_that_certainly_takes_longer_than_its_time_is_refused_at_once() {
    let (mut router, plan) = host(&[("s0", "east-a")], 40);
    let mut now = START;
    for _ in 0..20 {
        let left = Duration::from_secs(2);
        let target = router.select_server(now, &plan, None, &[], 0, left);
        now = now + Duration::from_millis(400);
        let outcome = AttemptOutcome::Answered { success: true };
        let report = LoadReport {
            running: 0,
            waiting: 0,
            slots: 40,
            duration_percent: None,
        };
        router.record_outcome(now, &target.unwrap(), outcome, Some(report));
    }

    let mut select = |now, left| {
        let left = Duration::from_millis(left);
        let target = router.select_server(now, &plan, None, &[], 0, left);
        target.map(|_| ()).map_err(|refusal| refusal.cause)
    };
    assert_eq!(select(now, 100), Err(RefusalCause::Deadline));
    assert_eq!(select(now, 500), Ok(()));
    // What was true once does not keep requests out for good.
    assert_eq!(select(now + Duration::from_secs(15), 100), Ok(()));
}

#[test]
fn large_bodies_stay_in_the_domain_while_small_ones_evade_a_busy_server() {
    let servers = [("near", "east-a"), ("far", "east-b")];
    let (mut router, plan) = host(&servers, 4);
    let at = |router: &mut Router, bytes| {
        let target = send(router, &plan, bytes, 2_000).unwrap();
        target.entry.id.to_string()
    };
    let small: Vec<String> = (0..6).map(|_| at(&mut router, 0)).collect();

    assert_eq!(small.last().unwrap(), "far", "{small:?}");
    assert_eq!(at(&mut router, 360_000), "near");
}
