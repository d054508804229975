//! Unit tests of parts that need neither a host nor a simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthshunt_core::balance::{ServerHolding, distribute_shards, plan_moves};
use amaranthshunt_core::catalogue::{Class, Limits};
use amaranthshunt_core::ids::{
    EntryKey, Epoch, FenceToken, HostId, IdempotencyKey, RegionKey, ServerKey, ShardKey,
};
use amaranthshunt_core::ledger::{Ledger, Lookup, Record, RecordState, Tenure};
use amaranthshunt_core::limiter::Limiter;
use amaranthshunt_core::quarantine::{Crash, CrashId, Quarantine, QuarantinePolicy};
use amaranthshunt_core::queue::Queue;
use amaranthshunt_core::validity::{Predecessor, Validity};
use amaranthshunt_core::{Answer, Refusal, Time, Timing, UnknownReason};
use bytes::Bytes;
use yare::parameterized;

const SHARD: ShardKey = ShardKey {
    entry: EntryKey(0),
    region: RegionKey(0),
    index: 3,
};

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn key_created_at(time: Time) -> IdempotencyKey {
    let builder = uuid::Builder::from_unix_timestamp_millis(time.as_millis(), &[7; 10]);
    IdempotencyKey(builder.into_uuid())
}

fn limits() -> Limits {
    Limits {
        slots: 4,
        cold_slots: 1,
        warm_up: 100,
        connections: 10,
        queue: 2,
        body: 100,
    }
}

fn holdings(counts: &[(u32, usize, f64)]) -> BTreeMap<ServerKey, ServerHolding> {
    let held = counts.iter().map(|(server, shards, weight)| {
        let holding = ServerHolding {
            shards: *shards,
            weight: *weight,
        };
        (ServerKey(*server), holding)
    });
    held.collect()
}

#[test]
fn validity_counts_from_when_the_heartbeat_was_sent() {
    let mut validity = Validity::default();
    validity.confirm_by_promise(at(0));
    assert_eq!(validity.until(Duration::from_millis(400)), at(400));
}

#[test]
fn no_promise_is_given_once_a_takeover_began() {
    let mut predecessor = Predecessor::new(HostId(1), 5, at(0), Duration::from_millis(400));
    assert!(predecessor.try_promise(5, at(500)));
    predecessor.start_takeover();
    assert!(!predecessor.try_promise(5, at(510)));
}

#[test]
fn no_promise_is_given_for_another_term() {
    let mut predecessor = Predecessor::new(HostId(1), 5, at(0), Duration::from_millis(400));
    assert!(!predecessor.try_promise(4, at(10)));
}

#[test]
fn a_new_predecessor_counts_promises_of_the_previous_successor() {
    let predecessor = Predecessor::new(HostId(1), 5, at(0), Duration::from_millis(400));
    assert_eq!(predecessor.promised_at(), at(400));
}

#[test]
fn default_timing_meets_the_recovery_target() {
    assert_eq!(Timing::default().violations(), Vec::<String>::new());
}

#[parameterized(
    slow_heartbeat = { Timing { heartbeat: Duration::from_millis(200), ..Timing::default() } },
    long_lease = { Timing { lease: Duration::from_millis(900), ..Timing::default() } },
    short_validity = { Timing { validity: Duration::from_millis(100), ..Timing::default() } },
    wide_skew = { Timing { skew: Duration::from_millis(150), ..Timing::default() } },
)]
fn inconsistent_timing_is_reported(timing: Timing) {
    assert!(!timing.violations().is_empty());
}

#[test]
fn an_empty_ledger_calls_old_keys_doubtful_and_new_ones_fresh() {
    let mut ledger = Ledger::default();
    ledger.open(SHARD, at(1_000));
    let old = ledger.lookup(SHARD, key_created_at(at(999)), 1, at(0));
    let new = ledger.lookup(SHARD, key_created_at(at(1_001)), 1, at(0));
    assert_eq!(old, Lookup::Doubtful(UnknownReason::Forgotten));
    assert_eq!(new, Lookup::Fresh);
}

#[test]
fn a_retry_gets_the_recorded_answer_and_a_reused_key_is_refused() {
    let answer = Answer {
        status: 200,
        body: Bytes::from_static(b"done"),
    };
    let key = key_created_at(at(2_000));
    let mut ledger = Ledger::default();
    ledger.open(SHARD, at(0));
    let record = Record {
        fingerprint: 7,
        state: RecordState::Answered(answer.clone()),
    };
    ledger.set(SHARD, key, record);
    let same = ledger.lookup(SHARD, key, 7, at(0));
    let other = ledger.lookup(SHARD, key, 8, at(0));
    assert_eq!(same, Lookup::Answered(answer));
    assert_eq!(other, Lookup::Refused(Refusal::KeyReused));
}

#[test]
fn a_started_request_of_a_lost_host_is_doubtful() {
    let key = key_created_at(at(2_000));
    let mut ledger = Ledger::default();
    ledger.open(SHARD, at(0));
    let record = Record {
        fingerprint: 7,
        state: RecordState::Started,
    };
    ledger.set(SHARD, key, record);
    ledger.mark_doubtful(SHARD, UnknownReason::HostLost);
    let result = ledger.lookup(SHARD, key, 7, at(0));
    assert_eq!(result, Lookup::Doubtful(UnknownReason::HostLost));
}

#[test]
fn setting_the_same_tenure_again_is_no_change() {
    let tenure = Tenure {
        epoch: Epoch(2),
        token: FenceToken(4),
    };
    let mut ledger = Ledger::default();
    ledger.open(SHARD, at(0));
    assert!(ledger.set_tenure(SHARD, tenure));
    assert!(!ledger.set_tenure(SHARD, tenure));
}

#[test]
fn a_cold_server_stays_at_its_cold_limit_for_the_warm_up() {
    let mut limiter = Limiter::new(&limits(), at(0));
    for millis in 0..100 {
        limiter.record_completion(at(millis), Duration::from_millis(5));
        assert_eq!(limiter.limit(), 1);
    }
    for millis in 100..140 {
        limiter.record_completion(at(millis), Duration::from_millis(5));
    }
    assert_eq!(limiter.limit(), 4);
}

#[test]
fn the_limit_falls_back_at_once_on_a_latency_jump() {
    let mut limiter = Limiter::new(&limits(), at(0));
    for millis in 100..160 {
        limiter.record_completion(at(millis), Duration::from_millis(5));
    }
    let reduced = limiter.record_completion(at(500), Duration::from_millis(50));
    assert!(reduced);
    assert_eq!(limiter.limit(), 1);
}

#[test]
fn three_slow_answers_in_a_row_mark_a_server_slow() {
    let mut limiter = Limiter::new(&limits(), at(0));
    limiter.record_completion(at(100), Duration::from_millis(5));
    for millis in 200..202 {
        limiter.record_completion(at(millis), Duration::from_millis(50));
    }
    assert!(!limiter.is_slow());
    limiter.record_completion(at(203), Duration::from_millis(50));
    assert!(limiter.is_slow());
}

#[test]
fn a_full_queue_evicts_an_item_of_its_lowest_class() {
    let mut queue = Queue::new(2);
    queue.push(Class::Read, at(9), "read");
    queue.push(Class::Payment, at(9), "payment");
    let evicted = queue.push(Class::Confirm, at(9), "confirm");
    assert_eq!(evicted, Some("read"));
    assert_eq!(queue.pop(), Some("payment"));
}

#[test]
fn a_request_is_quarantined_after_two_crashes_until_the_quarantine_expires() {
    let mut quarantine = Quarantine::new(QuarantinePolicy {
        crash_limit: 2,
        gap: Duration::ZERO,
        span: Duration::from_secs(60),
    });
    let crash = |server, millis| Crash::at(CrashId::new(server, 1), at(millis));
    quarantine.record_crash(7, crash("a", 0), at(0));
    quarantine.record_crash(7, crash("a", 5), at(5));
    assert!(
        !quarantine.is_quarantined(7, at(5)),
        "a crash that is reported twice counts once"
    );
    quarantine.record_crash(7, crash("b", 10), at(10));
    assert!(quarantine.is_quarantined(7, at(60_000)));
    quarantine.expire(at(70_010));
    assert!(!quarantine.is_quarantined(7, at(70_010)));
    quarantine.record_crash(7, crash("c", 70_020), at(70_020));
    assert!(
        quarantine.is_quarantined(7, at(70_020)),
        "one more crash brings the refusal back"
    );
}

#[test]
fn a_server_without_weight_loses_every_shard() {
    let counts = holdings(&[(1, 6, 0.0), (2, 6, 1.0), (3, 6, 1.0)]);
    let moves = plan_moves(ServerKey(1), 0..6, &counts);
    let to_second = moves.iter().filter(|(_, to)| *to == ServerKey(2)).count();
    assert_eq!((moves.len(), to_second), (6, 3));
}

#[test]
fn a_small_difference_moves_nothing() {
    let counts = holdings(&[(1, 7, 1.0), (2, 6, 1.0), (3, 6, 1.0)]);
    assert!(plan_moves(ServerKey(1), 0..7, &counts).is_empty());
}

#[test]
fn nothing_moves_when_no_server_may_take_it() {
    let counts = holdings(&[(1, 7, 0.0), (2, 0, 0.0)]);
    assert!(plan_moves(ServerKey(1), 0..7, &counts).is_empty());
}

#[test]
fn a_new_entry_is_spread_by_weight() {
    let counts = holdings(&[(1, 0, 1.0), (2, 0, 3.0)]);
    let owners = distribute_shards(8, &counts);
    let second = owners
        .iter()
        .filter(|owner| **owner == ServerKey(2))
        .count();
    assert_eq!(second, 6);
}

#[test]
fn a_server_with_little_work_reaches_its_full_limit_soon_after_its_warm_up() {
    let mut limiter = Limiter::new(&limits(), at(0));
    for number in 0..6 {
        limiter.record_completion(at(150 + number * 200), Duration::from_millis(5));
    }
    assert_eq!(limiter.limit(), 4);
}
