//! The queue of one host: its order, its bounds and what it sheds.
//!
//! Guards against the load of a day on which hosts held back payments behind reports, and against memory
//! that callers who have left still occupy.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{AdmissionQueue, QueueTicket, Rejection, Waiting};
use amaranthshunt_core::ids::ServerKey;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const START: Time = Time::from_millis(1_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request that arrives at `START` with some seconds to its target.
fn waiting(priority: u8, work: u64) -> Waiting {
    Waiting {
        priority,
        target: START + millis(4_000),
        deadline: START + millis(8_000),
        hold: millis(1_000),
        work: millis(work),
        bytes: 100,
        service: Arc::from("orders"),
        server: None,
    }
}

fn queue() -> AdmissionQueue {
    AdmissionQueue::new(4, 1_000)
}

fn offer(queue: &mut AdmissionQueue, waiting: Waiting) -> QueueTicket {
    let offer = queue.offer(START, waiting);
    assert_eq!(offer.shed, Vec::new());
    offer.result.unwrap()
}

/// The order in which all requests for a service are served.
fn order(queue: &mut AdmissionQueue) -> Vec<QueueTicket> {
    let service = Arc::from("orders");
    let mut served = Vec::new();
    while let Some(ticket) = queue.next(START, &service, None) {
        served.push(ticket);
        queue.remove(ticket);
    }
    served
}

#[test]
fn requests_are_served_by_priority_then_slack_then_work() {
    let mut queue = queue();
    let less_urgent = offer(&mut queue, waiting(1, 10));
    let late = Waiting {
        target: START,
        ..waiting(0, 100)
    };
    let late = offer(&mut queue, late);
    let relaxed = offer(&mut queue, waiting(0, 100));
    let tight = Waiting {
        target: START + millis(2_000),
        ..waiting(0, 100)
    };
    let tight = offer(&mut queue, tight);

    assert_eq!(order(&mut queue), [tight, relaxed, late, less_urgent]);
}

#[test]
fn request_is_not_sent_before_a_more_urgent_one_that_waits() {
    let mut queue = queue();
    let urgent = offer(&mut queue, waiting(0, 100));

    let other = Waiting {
        service: Arc::from("catalogue"),
        ..waiting(1, 100)
    };
    assert!(queue.must_wait(START, &waiting(1, 100)));
    assert!(!queue.must_wait(START, &other));
    queue.remove(urgent);
    assert!(!queue.must_wait(START, &waiting(1, 100)));
}

#[test]
fn request_with_a_key_waits_for_its_server_only() {
    let mut queue = queue();
    let of_server = |number| Waiting {
        server: Some(ServerKey(number)),
        ..waiting(0, 100)
    };
    let first = offer(&mut queue, of_server(1));
    let service = Arc::from("orders");

    assert!(!queue.must_wait(START, &of_server(2)));
    assert_eq!(queue.next(START, &service, Some(ServerKey(2))), None);
    assert_eq!(queue.next(START, &service, Some(ServerKey(1))), Some(first));
}

#[test]
fn only_one_request_of_a_service_is_tried_at_a_time() {
    let mut queue = queue();
    let first = offer(&mut queue, waiting(0, 100));
    let second = offer(&mut queue, waiting(1, 100));
    let service = Arc::from("orders");

    assert_eq!(queue.next(START, &service, None), Some(first));
    assert_eq!(queue.next(START, &service, None), None);
    // The capacity may suffice for the second one as well.
    assert_eq!(queue.record_service(START, first), Some(second));
    queue.record_refusal(second);
    assert_eq!(queue.next(START, &service, None), Some(second));
}

#[parameterized(
    less_urgent = { waiting(1, 100), waiting(0, 100) },
    more_work = { waiting(1, 400), waiting(1, 100) },
    target_out_of_reach = {
        Waiting { target: START, ..waiting(1, 100) }, waiting(1, 100)
    },
)]
fn full_queue_sheds_what_costs_callers_least(cheap: Waiting, dear: Waiting) {
    let mut queue = queue();
    let shed = offer(&mut queue, cheap.clone());
    for _ in 0..3 {
        offer(&mut queue, dear.clone());
    }

    let added = queue.offer(START, dear);
    assert!(added.result.is_ok());
    assert_eq!(added.shed, [shed]);
    let rejected = queue.offer(START, cheap);
    assert_eq!(rejected.result, Err(Rejection::Full));
    assert_eq!(rejected.shed, Vec::new());
    assert_eq!(queue.len(), 4);
}

#[test]
fn bytes_are_bounded() {
    let mut queue = queue();
    let large = |priority| Waiting {
        bytes: 500,
        ..waiting(priority, 100)
    };
    let first = offer(&mut queue, large(2));
    let second = offer(&mut queue, large(1));

    let added = queue.offer(
        START,
        Waiting {
            bytes: 900,
            ..waiting(0, 100)
        },
    );
    assert_eq!(added.shed, [first, second]);
    assert_eq!(queue.bytes(), 900);
    let too_large = Waiting {
        bytes: 1_001,
        ..waiting(0, 100)
    };
    let rejected = queue.offer(START, too_large);
    assert_eq!(rejected.result, Err(Rejection::Full));
    assert_eq!(rejected.shed, Vec::new());
}

#[parameterized(
    no_time_until_the_deadline = { Waiting { target: START, deadline: START + millis(90), ..waiting(0, 100) } },
    no_time_to_wait = { Waiting { hold: Duration::ZERO, ..waiting(0, 100) } },
    longer_wait_than_allowed = { Waiting { hold: millis(50), ..waiting(0, 100) } },
)]
fn request_that_will_not_be_served_in_time_is_refused_at_once(late: Waiting) {
    let mut queue = queue();

    assert_eq!(queue.offer(START, late).result, Err(Rejection::Late));
    assert!(queue.is_empty());
}

#[test]
fn request_behind_many_others_is_refused_at_once() {
    let mut queue = AdmissionQueue::new(100, 100_000);
    let service = Arc::from("orders");
    // Capacity for a request every 100 ms, of which this host gets half.
    for number in 0..50 {
        queue.next(START - millis(100) * (50 - number), &service, None);
    }
    let results = (0..10).map(|_| queue.offer(START, waiting(0, 100)).result.is_ok());

    // The hold is one second.
    assert_eq!(results.filter(|is_queued| *is_queued).count(), 5);
    assert_eq!(
        queue.offer(START, waiting(1, 100)).result,
        Err(Rejection::Late)
    );
}

#[test]
fn requests_are_given_up_after_their_hold_or_when_the_target_is_out_of_reach() {
    let mut queue = queue();
    let held = offer(&mut queue, waiting(0, 100));
    let tight = Waiting {
        target: START + millis(500),
        ..waiting(0, 100)
    };
    let tight = offer(&mut queue, tight);

    assert_eq!(queue.next_expiry(), Some(START + millis(400)));
    assert_eq!(queue.expire(START + millis(100)), []);
    assert_eq!(queue.expire(START + millis(400)), [tight]);
    assert_eq!(queue.expire(START + millis(1_000)), [held]);
    assert!(queue.is_empty());
}

// Guards against callers who leave: their requests must neither be sent nor occupy the queue, and their
// tickets must never reach the requests of others.
#[test]
fn tickets_of_departed_callers_leave_nothing_behind() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut queue = AdmissionQueue::new(16, 1 << 20);
    let service: Arc<str> = Arc::from("orders");
    let mut live: Vec<QueueTicket> = Vec::new();
    let mut gone: Vec<QueueTicket> = Vec::new();
    for _ in 0..5_000 {
        match rng.random_range(0..4) {
            0 | 1 => {
                let mut request = waiting(rng.random_range(0..3), rng.random_range(1..300));
                request.bytes = rng.random_range(0..5_000);
                let offer = queue.offer(START, request);
                live.retain(|ticket| !offer.shed.contains(ticket));
                gone.extend(offer.shed);
                live.extend(offer.result);
            }
            2 if !live.is_empty() => {
                let left = live.swap_remove(rng.random_range(0..live.len()));
                assert!(queue.remove(left));
                gone.push(left);
            }
            _ => {
                if let Some(next) = queue.next(START, &service, None) {
                    assert!(live.contains(&next), "a departed request is tried");
                    queue.record_refusal(next);
                }
            }
        }
        assert_eq!(queue.len(), live.len());
    }
    for ticket in gone {
        assert!(!queue.remove(ticket));
        assert_eq!(queue.record_service(START, ticket), None);
    }
    for ticket in live {
        assert!(queue.remove(ticket));
    }
    assert_eq!((queue.len(), queue.bytes()), (0, 0));
    assert_eq!(queue.next_expiry(), None);
    assert_eq!(queue.due(START), []);
}
