//! Pipelined requests of one caller connection.

use amaranthshunt_core::front::{MAX_IN_FLIGHT, NextResponse, ResponseOrder};

fn next(item: &'static str, closes: bool) -> Option<NextResponse<&'static str>> {
    Some(NextResponse { item, closes })
}

// Guards against ORDER: callers match responses to requests by their order only.
#[test]
fn responses_are_written_in_the_order_of_their_requests() {
    let mut order = ResponseOrder::default();
    let first = order.start("first", true, false);
    let second = order.start("second", true, false);
    let third = order.start("third", true, false);

    order.complete(third);
    assert_eq!(order.take_next(false), None);
    order.complete(first);
    assert_eq!(order.take_next(false), next("first", false));
    assert_eq!(order.take_next(false), None);
    order.complete(second);

    assert_eq!(order.take_next(false), next("second", false));
    assert_eq!(order.take_next(false), next("third", false));
    assert!(order.is_empty());
}

// Guards against TWICE: a caller repeats what stands behind a closing response, whatever its kind.
#[test]
fn a_request_that_may_not_be_repeated_is_never_in_flight_with_another() {
    let mut order = ResponseOrder::default();
    assert!(order.may_start(false));
    let read = order.start("read", true, false);
    assert!(order.may_start(true));
    assert!(!order.may_start(false));

    order.complete(read);
    assert!(!order.may_start(false), "the read has not been answered");
    order.take_next(false);
    assert!(order.may_start(false));
    order.start("payment", false, false);

    assert!(order.may_read(), "the time of the next one is counted");
    assert!(!order.may_start(true));
    assert!(!order.may_start(false));
}

#[test]
fn requests_in_flight_are_bounded() {
    let mut order = ResponseOrder::default();
    let tickets: Vec<_> = (0..MAX_IN_FLIGHT)
        .map(|number| order.start(number, true, false))
        .collect();

    assert!(!order.may_read() && !order.may_start(true));
    order.complete(tickets[0]);
    assert!(!order.may_start(true), "its response holds memory");
    order.take_next(false);
    assert!(order.may_start(true));
}

// Guards against TWICE: nothing behind a response that closes the connection is read.
#[test]
fn nothing_starts_behind_a_request_that_asks_to_close() {
    let mut order = ResponseOrder::default();
    let first = order.start("first", true, false);
    let last = order.start("last", true, true);

    assert!(!order.may_read() && !order.may_start(true));
    order.complete(last);
    order.complete(first);
    assert_eq!(order.take_next(false), next("first", false));
    assert_eq!(order.take_next(false), next("last", true));
    assert!(!order.may_start(false));
}

// Guards against LOST: a response of a stopping host that closed the connection before the responses to
// requests it had started.
#[test]
fn a_leaving_host_closes_after_the_last_started_request() {
    let mut order = ResponseOrder::default();
    let tickets = ["first", "second"].map(|item| order.start(item, true, false));
    for ticket in tickets {
        order.complete(ticket);
    }

    assert_eq!(order.take_next(true), next("first", false));
    assert_eq!(order.take_next(true), next("second", true));
    assert!(!order.may_read());
}

#[test]
fn a_close_cancels_all_requests_but_one_that_may_not_be_repeated() {
    let mut reads = ResponseOrder::default();
    let first = reads.start("first", true, false);
    reads.start("second", true, false);
    reads.complete(first);
    let mut payment = ResponseOrder::default();
    payment.start("payment", false, false);
    let mut answered = ResponseOrder::default();
    let ticket = answered.start("answered", false, false);
    answered.complete(ticket);

    assert_eq!(reads.close(), [("first", true), ("second", true)]);
    assert_eq!(payment.close(), [("payment", false)]);
    assert_eq!(answered.close(), [("answered", true)]);
    assert!(!reads.may_start(true));
}

#[test]
fn a_response_to_a_cancelled_request_is_dropped() {
    let mut order = ResponseOrder::default();
    let first = order.start("first", true, false);
    let second = order.start("second", true, false);
    assert_eq!(order.unfinished().collect::<Vec<_>>(), [first, second]);

    order.close();

    assert_eq!(order.complete(second), None);
    assert_eq!(order.unfinished().count(), 0);
    assert_eq!(order.take_next(false), None);
}
