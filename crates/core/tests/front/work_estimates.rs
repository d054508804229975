//! Estimates of the work of requests that turn out wrong.
//!
//! Guards against the load of routes whose requests suddenly take three times as long, or a third: a host
//! that goes on with the old estimate refuses what could be served, or sends what cannot.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{WorkEstimates, WorkKey};
use yare::parameterized;

const WORK: Duration = Duration::from_millis(200);
const BASELINE: Duration = Duration::from_millis(120);
/// Requests after which an estimate has to be within a quarter of a new mean.
const ADAPTATION: u64 = 15;
const STEP: Duration = Duration::from_millis(10);

/// Estimates after 100 requests with a mean of `WORK` and a spread of a quarter of it.
fn settled(key: WorkKey) -> (WorkEstimates, Time) {
    let mut estimates = WorkEstimates::default();
    let mut now = Time::from_millis(1_000);
    for number in 0..100 {
        estimates.record(now, key, "s0", sample(number, WORK));
        now = now + STEP;
    }
    (estimates, now)
}

/// Samples that alternate around a mean.
fn sample(number: u64, mean: Duration) -> Duration {
    mean.mul_f64([0.6, 1.1, 0.9, 1.4][number as usize % 4])
}

fn is_near(estimate: Duration, mean: Duration, tolerance: f64) -> bool {
    estimate > mean.mul_f64(1.0 - tolerance) && estimate < mean.mul_f64(1.0 + tolerance)
}

#[test]
fn estimate_is_the_mean_of_noisy_measurements() {
    let key = WorkKey::new("read", "catalogue");
    let (estimates, now) = settled(key);

    let estimate = estimates.estimate(now, key, None, BASELINE);

    assert!(is_near(estimate.mean, WORK, 0.15), "{estimate:?}");
    assert!(estimate.spread > WORK / 8, "{estimate:?}");
    assert!(estimate.spread < WORK / 2, "{estimate:?}");
}

#[parameterized(
    longer = { 3.0 },
    shorter = { 1.0 / 3.0 },
)]
fn estimate_that_is_wrong_by_a_factor_is_right_after_some_requests(factor: f64) {
    let key = WorkKey::new("read", "catalogue");
    let (mut estimates, mut now) = settled(key);
    let mean = WORK.mul_f64(factor);

    for number in 0..ADAPTATION {
        // Another server, so that the change is not taken for the speed of one.
        estimates.record(now, key, &format!("s{number}"), sample(number, mean));
        now = now + STEP;
    }

    let estimate = estimates.estimate(now, key, None, BASELINE);
    assert!(is_near(estimate.mean, mean, 0.25), "{estimate:?}");
}

#[test]
fn one_outlier_hardly_moves_an_estimate() {
    let key = WorkKey::new("read", "catalogue");
    let (mut estimates, now) = settled(key);

    estimates.record(now, key, "s0", WORK * 4);

    let estimate = estimates.estimate(now, key, None, BASELINE);
    assert!(is_near(estimate.mean, WORK, 0.35), "{estimate:?}");
}

#[test]
fn requests_without_an_answer_raise_an_estimate_that_then_decays() {
    let key = WorkKey::new("read", "catalogue");
    let (mut estimates, now) = settled(key);

    for _ in 0..ADAPTATION {
        estimates.record_overrun(now, key, WORK * 10);
    }

    let raised = estimates.estimate(now, key, None, BASELINE).mean;
    assert!(raised > WORK * 4, "{raised:?}");
    let later = now + Duration::from_secs(30);
    let decayed = estimates.estimate(later, key, None, BASELINE).mean;
    assert!(is_near(decayed, BASELINE, 0.05), "{decayed:?}");
    assert!(estimates.certain_minimum(later, key) < Duration::from_millis(5));
}

#[test]
fn slow_server_raises_the_estimate_at_that_server_only() {
    let key = WorkKey::new("read", "catalogue");
    let mut estimates = WorkEstimates::default();
    let mut now = Time::from_millis(1_000);
    for number in 0..400 {
        let (server, factor) = [("fast", 0.6), ("slow", 1.4)][number as usize % 2];
        estimates.record(now, key, server, WORK.mul_f64(factor));
        now = now + STEP;
    }

    let at = |server| estimates.estimate(now, key, Some(server), BASELINE).mean;
    assert!(at("slow") > at("fast").mul_f64(1.7), "{:?}", at("slow"));
    assert!(is_near(at("unknown"), WORK, 0.2), "{:?}", at("unknown"));
}

#[test]
fn unknown_route_has_the_baseline_of_its_service() {
    let estimates = WorkEstimates::default();
    let key = WorkKey::new("read", "catalogue");

    let estimate = estimates.estimate(Time::from_millis(5), key, None, BASELINE);

    assert_eq!(estimate.mean, BASELINE);
    assert_eq!(
        estimates.certain_minimum(Time::from_millis(5), key),
        Duration::ZERO
    );
}

// Guards against memory that grows with the names of routes and servers.
#[test]
fn number_of_routes_and_servers_is_bounded() {
    let mut estimates = WorkEstimates::default();
    let first = WorkKey::new("route-0", "catalogue");
    for number in 0..2_000_u64 {
        let key = WorkKey::new(&format!("route-{number}"), "catalogue");
        let now = Time::from_millis(number);
        estimates.record(now, key, &format!("s{number}"), WORK);
    }

    assert_eq!(estimates.len(), [512, 512]);
    let now = Time::from_millis(2_000);
    let last = WorkKey::new("route-1999", "catalogue");
    assert_eq!(
        estimates.estimate(now, first, None, BASELINE).mean,
        BASELINE
    );
    assert!(estimates.estimate(now, last, None, BASELINE).mean > BASELINE);
}
