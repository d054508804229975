//! Limits that all hosts together keep without coordination.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{RateBound, RateShareLimiter, RetryBudgetShare};
use yare::parameterized;

const WINDOW_MS: u64 = 10_000;

/// The bound of a cold server, with the window that the router uses.
fn cold_bound(requests: f64) -> RateBound {
    RateBound {
        requests,
        window: Duration::from_millis(1_150),
    }
}

#[parameterized(
    few_hosts = { 3, 60.0 },
    many_hosts = { 12, 60.0 },
    hundreds_of_hosts = { 200, 430.0 },
    all_at_one_host = { 1, 60.0 },
)]
fn retries_of_all_hosts_stay_within_the_budget_in_every_window(hosts: usize, slack: f64) {
    let service: Arc<str> = Arc::from("orders");
    let window = Duration::from_millis(WINDOW_MS);
    let mut shares: Vec<RetryBudgetShare> = (0..hosts)
        .map(|_| RetryBudgetShare::new(0.2, slack, window, hosts))
        .collect();

    // Every request fails and is retried as often as its host allows, in calm and busy times.
    let mut requests: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    for millis in 0..40_000 {
        let is_busy = (15_000..18_000).contains(&millis);
        if millis % 5 != 0 && !is_busy {
            continue;
        }
        let share = &mut shares[requests.len() % hosts];
        let now = Time::from_millis(1_000 + millis);
        requests.push(millis);
        share.record_request(now, &service);
        while share.withdraw(now, &service) {
            retries.push(millis);
        }
    }

    let count = |times: &[u64], from: u64| {
        let within = |at: &&u64| **at >= from && **at < from + WINDOW_MS;
        times.iter().filter(within).count() as f64
    };
    for start in (WINDOW_MS..30_000).step_by(100) {
        let bases = [start, start - WINDOW_MS / 2, start - WINDOW_MS];
        let base = bases.map(|from| count(&requests, from));
        let bound = 0.2 * base.into_iter().fold(0.0, f64::max) + slack;
        let made = count(&retries, start);
        assert!(made <= bound, "{made} of {bound} from {start} ms");
    }
    let made = retries.len() as f64;
    let used = made / (0.2 * requests.len() as f64 + slack);
    assert!(used > 0.5, "the budget is not used: {made} retries");
}

#[test]
fn calm_seconds_leave_retries_for_a_burst_of_failures() {
    let service: Arc<str> = Arc::from("orders");
    let window = Duration::from_millis(WINDOW_MS);
    let mut share = RetryBudgetShare::new(0.2, 430.0, window, 195);
    for number in 0..100 {
        share.record_request(Time::from_millis(1_000 + number * 80), &service);
    }

    let now = Time::from_millis(9_500);
    let retries = (0..100).filter(|_| share.withdraw(now, &service)).count();

    assert!(retries >= 12, "{retries} retries of 100 requests in 8 s");
}

#[parameterized(
    nine_hosts = { 9, 18.8 },
    fifteen_hosts = { 15, 18.8 },
    two_hosts = { 2, 29.5 },
)]
fn cold_requests_of_all_hosts_stay_within_the_limit_in_every_second(hosts: usize, bound: f64) {
    let mut limiters = vec![RateShareLimiter::default(); hosts];
    let mut sent: Vec<u64> = Vec::new();

    // Every host tries continuously for ten seconds.
    for millis in (0..10_000).step_by(7) {
        let now = Time::from_millis(1_000 + millis);
        for limiter in &mut limiters {
            if limiter.allows(now, cold_bound(bound), 1.0 / hosts as f64, 0.5) {
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
    let mut limiter = RateShareLimiter::default();
    let mut sent = 0;

    for millis in (0..60_000).step_by(10) {
        let now = Time::from_millis(1_000 + millis);
        if limiter.allows(now, cold_bound(14.5), 1.0 / 61.0, 0.5) {
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
    let mut limiters = vec![RateShareLimiter::default(); hosts];
    let mut sent: Vec<u64> = Vec::new();

    for millis in (0..6_000).step_by(10) {
        let now = Time::from_millis(100_000 + millis);
        for (number, limiter) in limiters.iter_mut().enumerate() {
            let phase = number as f64 / hosts as f64;
            if limiter.allows(now, cold_bound(14.5), 1.0 / hosts as f64, phase) {
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
