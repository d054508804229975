//! How outcomes look to callers.

use amaranthshunt_core::{Doubt, Outcome, Refusal};
use http_types::{Response, StatusCode};

/// The header that tells the three outcomes apart: `answer`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "outcome";
/// The header that says why a request was not run, or why that is not known.
pub const REASON_HEADER: &str = "reason";

/// The HTTP status of a refusal.
pub fn status_of(refusal: Refusal) -> StatusCode {
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

/// The word for a refusal in the reason header.
pub(crate) fn refusal_word(refusal: Refusal) -> &'static str {
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

fn doubt_word(doubt: Doubt) -> &'static str {
    match doubt {
        Doubt::ServerLost => "server-lost",
        Doubt::HostLost => "host-lost",
        Doubt::Deadline => "deadline",
        Doubt::Forgotten => "forgotten",
        Doubt::NotAsked => "not-asked",
    }
}

/// The response for an outcome.
pub(crate) fn response_of(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Answer(answer) => {
            let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
            let mut response = Response::new(status);
            response.insert_header(OUTCOME_HEADER, "answer");
            response.set_body(answer.body.to_vec());
            response
        }
        Outcome::NotRun(refusal) => {
            let word = refusal_word(refusal);
            refusal_response(status_of(refusal), "not-run", word)
        }
        Outcome::Unknown(doubt) => {
            refusal_response(StatusCode::GatewayTimeout, "unknown", doubt_word(doubt))
        }
    }
}

/// A response without an answer of a backend server.
pub(crate) fn refusal_response(status: StatusCode, outcome: &str, reason: &str) -> Response {
    let mut response = Response::new(status);
    response.insert_header(OUTCOME_HEADER, outcome);
    response.insert_header(REASON_HEADER, reason);
    response.set_body(format!("{outcome}: {reason}\n"));
    response
}
