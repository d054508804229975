//! Keys that turn hot.

use std::sync::Arc;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Candidate, KeyHeat, ServerHeat};

fn heat(id: &str, rate: f64, capacity: f64) -> ServerHeat {
    ServerHeat {
        id: Arc::from(id),
        rate,
        capacity,
        keys: 100,
        takes: true,
    }
}

#[test]
fn the_narrowest_hot_range_is_found() {
    let mut keys = KeyHeat::default();
    let wide = (0..60_000).step_by(100).map(|key| (key, 1));
    let hot = (20_000..20_010).map(|key| (key, 50));
    keys.add(Time::from_millis(1_000), wide.chain(hot));

    let (from, to) = keys.hottest(0, u16::MAX, 100.0).unwrap();

    assert!(
        (20_000..20_010).contains(&from) && (20_000..20_010).contains(&to),
        "{from} to {to}"
    );
}

#[test]
fn heat_fades() {
    let mut keys = KeyHeat::default();
    keys.add(Time::from_millis(1_000), [(5, 100)]);
    let before = keys.rate(0, 10);

    keys.fade(Time::from_millis(2_500));

    let after = keys.rate(0, 10);
    assert!((after - before / 2.0).abs() < 0.01, "{before} to {after}");
}

#[test]
fn servers_that_are_equally_busy_are_left_alone() {
    let servers = [heat("a", 30.0, 40.0), heat("b", 28.0, 40.0)];

    assert_eq!(Candidate::find(&servers, &[]), None);
}

#[test]
fn one_key_that_is_too_much_for_any_server_stays() {
    let servers = [heat("a", 80.0, 40.0), heat("b", 1.0, 40.0)];
    let candidate = Candidate::find(&servers, &[]).unwrap();

    assert_eq!(candidate.best_target(&servers, 80.0), None);
}

#[test]
fn one_hot_key_goes_to_the_server_that_works_fastest() {
    let servers = [
        heat("a", 50.0, 40.0),
        heat("idle", 0.0, 40.0),
        heat("fast", 10.0, 90.0),
    ];
    let candidate = Candidate::find(&servers, &[]).unwrap();

    assert_eq!(candidate.best_target(&servers, 48.0), Some(2));
}
