//! What a host knows of the store through the granting host, and when it asks itself.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Freshness, Passed};

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Knowledge that is complete up to revision 100, and confirmed by the granting host at the start.
fn told() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.read(at(0), 100, Some(90));
    freshness.tell(at(0), 90, Duration::ZERO);
    freshness
}

#[test]
fn a_host_that_hears_of_the_store_in_time_needs_no_watch() {
    let mut freshness = told();

    freshness.tell(at(1_000), 90, Duration::from_millis(300));

    assert!(freshness.is_told(at(2_000)));
}

#[test]
fn a_host_asks_the_store_itself_before_a_drain_is_due_when_the_granting_host_is_lost() {
    let freshness = told();

    assert!(!freshness.is_told(at(1_800)), "drains are due after 2.5 s");
}

#[test]
fn a_host_asks_the_store_itself_when_the_granting_host_hears_nothing_from_it() {
    let mut freshness = told();

    freshness.tell(at(1_900), 90, Duration::from_millis(1_900));

    assert!(!freshness.is_told(at(1_900)));
}

#[test]
fn changes_that_follow_are_taken_once() {
    let mut freshness = told();

    let first = freshness.pass(90, 120);
    let again = freshness.pass(90, 120);

    assert_eq!((first, again), (Passed::Next, Passed::Known));
    assert_eq!(freshness.complete(), 120);
}

#[test]
fn a_gap_is_closed_by_asking_the_store() {
    let mut freshness = told();

    let passed = freshness.pass(110, 120);
    freshness.tell(at(100), 120, Duration::ZERO);

    assert_eq!(passed, Passed::Gap);
    assert!(freshness.is_told(at(200)), "the change may be on its way");
    assert!(!freshness.is_told(at(600)));
    freshness.read(at(700), 120, Some(120));
    assert!(freshness.is_told(at(700)));
}

#[test]
fn a_change_that_is_not_passed_on_whole_is_read_at_once() {
    let mut freshness = told();

    freshness.tell_now(at(100), 130);

    assert!(freshness.is_behind(at(100)));
}

#[test]
fn a_later_granting_host_that_knows_less_changes_nothing() {
    let mut freshness = told();

    freshness.pass(90, 140);
    freshness.tell(at(100), 95, Duration::ZERO);

    assert_eq!(freshness.pass(80, 95), Passed::Known);
    assert!(freshness.is_told(at(1_000)));
}
