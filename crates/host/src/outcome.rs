//! Maps outcomes to HTTP responses for callers.

use amaranthshunt_core::{Outcome, Refusal, UnknownReason};
use http_types::{Response, StatusCode};

/// The header with the outcome: `answer`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "outcome";
/// The header with the reason of a `not-run` or `unknown` outcome.
pub const REASON_HEADER: &str = "reason";

/// The HTTP status of a refusal.
pub fn refusal_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::UnknownEntry => StatusCode::NotFound,
        Refusal::WrongRegion => StatusCode::MisdirectedRequest,
        Refusal::TooLarge => StatusCode::PayloadTooLarge,
        Refusal::KeyMissing | Refusal::KeyAhead => StatusCode::BadRequest,
        Refusal::KeyReused => StatusCode::Conflict,
        Refusal::Deadline => StatusCode::RequestTimeout,
        Refusal::Overloaded => StatusCode::TooManyRequests,
        Refusal::Unavailable => StatusCode::ServiceUnavailable,
        Refusal::Quarantined => StatusCode::UnprocessableEntity,
    }
}

/// The value of [`REASON_HEADER`] for a refusal.
pub(crate) fn refusal_reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::UnknownEntry => "unknown-entry",
        Refusal::WrongRegion => "wrong-region",
        Refusal::TooLarge => "too-large",
        Refusal::KeyMissing => "key-missing",
        Refusal::KeyAhead => "key-ahead",
        Refusal::KeyReused => "key-reused",
        Refusal::Deadline => "deadline",
        Refusal::Overloaded => "overloaded",
        Refusal::Unavailable => "unavailable",
        Refusal::Quarantined => "quarantined",
    }
}

fn unknown_reason(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::ServerLost => "server-lost",
        UnknownReason::HostLost => "host-lost",
        UnknownReason::Deadline => "deadline",
        UnknownReason::Forgotten => "forgotten",
        UnknownReason::NotAsked => "not-asked",
    }
}

/// The HTTP response for an outcome.
pub(crate) fn outcome_response(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Answer(answer) => {
            let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
            let mut response = Response::new(status);
            response.insert_header(OUTCOME_HEADER, "answer");
            response.set_body(answer.body.to_vec());
            response
        }
        Outcome::NotRun(refusal) => {
            let reason = refusal_reason(refusal);
            response_without_answer(refusal_status(refusal), "not-run", reason)
        }
        Outcome::Unknown(reason) => response_without_answer(
            StatusCode::GatewayTimeout,
            "unknown",
            unknown_reason(reason),
        ),
    }
}

/// A `not-run` or `unknown` response, which has no answer from a backend server.
pub(crate) fn response_without_answer(status: StatusCode, outcome: &str, reason: &str) -> Response {
    let mut response = Response::new(status);
    response.insert_header(OUTCOME_HEADER, outcome);
    response.insert_header(REASON_HEADER, reason);
    response.set_body(format!("{outcome}: {reason}\n"));
    response
}
