//! Freshness of relayed store data, and when a host queries the store itself.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Freshness, RelayStatus, StoreRevision, TransitDelay};

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// A revision of the first era of the store.
fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

/// Data that is complete up to revision 100 and that the leader has just confirmed.
fn confirmed_at_start() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), rev(100), Some(rev(90)));
    freshness.record_announcement(at(0), rev(90), Duration::ZERO);
    freshness
}

#[test]
fn recently_confirmed_data_needs_no_watch() {
    let mut freshness = confirmed_at_start();

    freshness.record_announcement(at(1_000), rev(90), Duration::from_millis(300));

    assert!(freshness.is_current(at(2_000)));
}

#[test]
fn without_the_leader_the_store_is_queried_before_a_drain_is_due() {
    let freshness = confirmed_at_start();

    assert!(
        !freshness.is_current(at(1_800)),
        "a drain must be in effect after 2.5 s"
    );
}

#[test]
fn the_store_is_queried_when_it_does_not_answer_the_leader() {
    let mut freshness = confirmed_at_start();

    freshness.record_announcement(at(1_900), rev(90), Duration::from_millis(1_900));

    assert!(!freshness.is_current(at(1_900)));
}

#[test]
fn consecutive_changes_are_applied_once() {
    let mut freshness = confirmed_at_start();

    let first = freshness.record_relay(rev(90), rev(120));
    let again = freshness.record_relay(rev(90), rev(120));

    assert_eq!((first, again), (RelayStatus::Next, RelayStatus::Known));
    assert_eq!(freshness.complete_revision(), rev(120));
}

#[test]
fn a_gap_is_closed_by_querying_the_store() {
    let mut freshness = confirmed_at_start();

    let status = freshness.record_relay(rev(110), rev(120));
    freshness.record_announcement(at(100), rev(120), Duration::ZERO);

    assert_eq!(status, RelayStatus::Gap);
    assert!(
        freshness.is_current(at(200)),
        "the change may be in transit"
    );
    assert!(!freshness.is_current(at(600)));
    freshness.record_read(at(700), rev(120), Some(rev(120)));
    assert!(freshness.is_current(at(700)));
}

#[test]
fn a_change_without_content_is_read_at_once() {
    let mut freshness = confirmed_at_start();

    freshness.require_read(at(100), rev(130));

    assert!(freshness.is_behind(at(100)));
}

/// Each announcement once restarted the time in which a missing change may arrive, so that a host that had
/// missed one while it changed its leader read it only when the changes paused, seconds later.
#[test]
fn a_missing_change_is_read_although_later_ones_are_announced() {
    let mut freshness = confirmed_at_start();
    for heartbeat in 0..4 {
        let change = rev(150 + heartbeat * 10);
        freshness.record_announcement(at(heartbeat * 500), change, Duration::ZERO);
    }

    let behind = [399, 400, 900, 1_550].map(|millis| freshness.is_behind(at(millis)));

    assert_eq!(behind, [false, true, true, true]);
}

/// A host that gets every change, each a moment after the leader has announced it, needs no calls.
#[test]
fn changes_that_arrive_in_time_do_not_count_as_missing() {
    let mut freshness = confirmed_at_start();
    for heartbeat in 0..4 {
        let (last, next) = (rev(100 + heartbeat * 10), rev(110 + heartbeat * 10));
        freshness.record_announcement(at(heartbeat * 500), next, Duration::ZERO);
        assert!(!freshness.is_behind(at(heartbeat * 500 + 300)));
        freshness.record_relay(last, next);
    }

    assert!(!freshness.is_behind(at(3_000)));
}

#[test]
fn older_changes_from_a_new_leader_are_ignored() {
    let mut freshness = confirmed_at_start();

    freshness.record_relay(rev(90), rev(140));
    freshness.record_announcement(at(100), rev(95), Duration::ZERO);

    assert_eq!(freshness.record_relay(rev(80), rev(95)), RelayStatus::Known);
    assert!(freshness.is_current(at(1_000)));
}

#[test]
fn an_answer_older_than_relayed_changes_is_outdated() {
    let mut freshness = Freshness::default();
    freshness.record_read(Time::from_millis(1_000), rev(10), None);
    freshness.record_relay(rev(10), rev(14));

    assert!(freshness.is_outdated(rev(12)));
    assert!(!freshness.is_outdated(rev(14)));
}

#[test]
fn a_stale_read_says_nothing_about_how_current_the_store_is() {
    let mut freshness = Freshness::default();
    freshness.record_stale_read(Time::from_millis(1_000), rev(10));
    let now = Time::from_millis(1_500);

    assert_eq!(freshness.complete_revision(), rev(10));
    assert_eq!(freshness.age(now), Duration::from_millis(1_500));
    assert!(freshness.was_read_lately(now));
    assert!(!freshness.was_read_lately(Time::from_millis(2_500)));
}

// Guards against CONFIG: a heartbeat that had been held up counted as the leader's present word, so
// the host trusted data that was older than it may be.
#[test]
fn heartbeat_that_was_held_up_does_not_make_relayed_data_fresh() {
    let leader_clock = |millis: u64| Time::from_millis(77_000 + millis);
    let mut transit = TransitDelay::default();
    let mut freshness = confirmed_at_start();
    transit.record(leader_clock(0), at(30));

    // Sent at 500 ms, 300 ms after the store's last answer, and received 900 ms late.
    let delay = transit.record(leader_clock(500), at(1_430));
    freshness.record_announcement(at(1_430), rev(90), Duration::from_millis(300) + delay);

    assert_eq!(delay, Duration::from_millis(900));
    assert!(
        !freshness.is_current(at(2_000)),
        "1.8 s after the store's answer"
    );
}

#[test]
fn transit_delay_is_measured_against_the_fastest_heartbeat_whatever_the_clocks_show() {
    let mut transit = TransitDelay::default();

    let delays = [(90_000, 5_100), (90_500, 5_540), (91_000, 6_150)].map(|(sent, received)| {
        transit.record(Time::from_millis(sent), Time::from_millis(received))
    });

    assert_eq!(delays, [0, 0, 110].map(Duration::from_millis));
}

// Guards against CONFIG: after the store was restored, its revisions were lower than the known ones,
// and what they brought was taken for an old answer.
#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    let mut freshness = confirmed_at_start();

    freshness.record_announcement(at(100), StoreRevision::new(2, 40), Duration::ZERO);

    assert!(!freshness.is_outdated(StoreRevision::new(2, 40)));
    assert!(freshness.is_outdated(rev(99)));
    assert!(
        freshness.is_behind(at(600)),
        "the leader has seen a later era"
    );
    freshness.record_read(at(700), StoreRevision::new(2, 40), None);
    assert!(freshness.is_current(at(700)));
}

// Guards against CONFIG and DRAIN: changes that were relayed across a restore did not follow what the
// host knew, though their numbers did.
#[test]
fn changes_of_a_later_era_do_not_follow_an_earlier_one() {
    let mut freshness = confirmed_at_start();
    let era = |number| StoreRevision::new(2, number);

    let changes = freshness.record_relay(era(90), era(95));
    let list = freshness.record_relayed_list(era(95));
    let next = freshness.record_relay(era(95), era(97));

    assert_eq!(
        [changes, list, next],
        [RelayStatus::Gap, RelayStatus::Next, RelayStatus::Next]
    );
}

// Guards against DRAIN: a dropped history passed for a restored store, and servers that had left in the
// gap were kept for two seconds more.
#[test]
fn a_dropped_history_is_not_a_new_era() {
    let mut freshness = confirmed_at_start();

    freshness.record_history_lost();

    assert_eq!(freshness.complete_revision().era(), 1);
    assert!(!freshness.is_outdated(rev(40)), "everything is read again");
    assert_eq!(freshness.record_relay(rev(90), rev(95)), RelayStatus::Gap);
}
