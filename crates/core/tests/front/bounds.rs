//! Limits that all hosts together keep without coordination.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{ColdStartLimiter, RetryBudgetShare};
use yare::parameterized;

#[parameterized(
    few_hosts = { 3 },
    many_hosts = { 12 },
    all_at_one_host = { 1 },
)]
fn retries_of_all_hosts_stay_within_the_budget(hosts: usize) {
    let service: Arc<str> = Arc::from("orders");
    let mut shares: Vec<RetryBudgetShare> = (0..hosts)
        .map(|_| RetryBudgetShare::new(0.2, 60.0, hosts))
        .collect();
    let requests = 2_000;

    // Every request fails and is retried as often as its host allows.
    let mut retries = 0;
    for number in 0..requests {
        let share = &mut shares[number % hosts];
        share.deposit(&service);
        while share.withdraw(&service) {
            retries += 1;
        }
    }

    let bound = 0.2 * requests as f64 + 60.0;
    assert!(f64::from(retries) <= bound, "{retries} of {bound}");
    assert!(retries > 200, "the budget is not used: {retries}");
}

#[parameterized(
    nine_hosts = { 9, 18.8 },
    fifteen_hosts = { 15, 18.8 },
    two_hosts = { 2, 29.5 },
)]
fn cold_requests_of_all_hosts_stay_within_the_limit_in_every_second(hosts: usize, bound: f64) {
    let mut limiters = vec![ColdStartLimiter::default(); hosts];
    let mut sent: Vec<u64> = Vec::new();

    // Every host tries continuously for ten seconds.
    for millis in (0..10_000).step_by(7) {
        let now = Time::from_millis(1_000 + millis);
        for limiter in &mut limiters {
            if limiter.allows(now, bound, hosts, 0.5) {
                limiter.record_send(now);
                sent.push(millis);
            }
        }
    }

    let most = sent.iter().map(|start| {
        sent.iter()
            .filter(|at| **at >= *start && **at < start + 1_000)
            .count()
    });
    let most = most.max().unwrap_or_default();
    assert!(most as f64 <= bound, "{most} of {bound}");
    assert!(sent.len() > 50, "the bound is not used: {}", sent.len());
}

#[test]
fn low_shares_of_all_hosts_use_less_than_half_of_the_limit() {
    let mut limiter = ColdStartLimiter::default();
    let mut sent = 0;

    for millis in (0..60_000).step_by(10) {
        let now = Time::from_millis(1_000 + millis);
        if limiter.allows(now, 14.5, 61, 0.5) {
            limiter.record_send(now);
            sent += 1;
        }
    }

    let rate = f64::from(sent) / Duration::from_secs(60).as_secs_f64() * 61.0;
    assert!(
        rate < 14.5 / 2.0,
        "{rate} requests per second over all hosts"
    );
}

#[test]
fn phases_spread_the_requests_of_many_hosts_to_a_cold_server() {
    let hosts = 61;
    let mut limiters = vec![ColdStartLimiter::default(); hosts];
    let mut sent: Vec<u64> = Vec::new();

    for millis in (0..6_000).step_by(10) {
        let now = Time::from_millis(100_000 + millis);
        for (number, limiter) in limiters.iter_mut().enumerate() {
            let phase = number as f64 / hosts as f64;
            if limiter.allows(now, 14.5, hosts, phase) {
                limiter.record_send(now);
                sent.push(millis);
            }
        }
    }

    let most = sent.iter().map(|start| {
        sent.iter()
            .filter(|at| **at >= *start && **at < start + 1_000)
            .count()
    });
    assert!(most.max().unwrap_or_default() <= 14);
}
