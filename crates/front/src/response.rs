//! Responses to callers.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{RefusalCause, RouteRefusal, ServerEntry};
use amaranthshunt_platform as platform;

use crate::http::{Body, BufferAccount, ResponseHead};
use crate::proxy::{LOST, REFUSAL, SERVER, SERVER_START};

/// Headers of a server's response that are not forwarded to callers.
const HOST_ONLY_HEADERS: [&str; 5] = [platform::UPSTREAM_LOAD, LOST, REFUSAL, SERVER, SERVER_START];

/// A response, ready to be written to a caller.
#[derive(Debug)]
pub(crate) struct Response {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The reason, for the log.
    pub(crate) log_detail: String,
    head: Vec<u8>,
    body: Body,
    /// The memory of the body, until it has been written.
    _account: Option<BufferAccount>,
    /// Why the host refused the request, if it did.
    refusal: Option<RefusalCause>,
    /// The server that made the response, if one did, and the start of its process.
    server: Option<(Arc<str>, Option<u64>)>,
    /// Whether that server has broken off the connection instead.
    is_lost: bool,
}

impl Response {
    /// Forwards a server's response.
    pub(crate) fn forwarded(head: &ResponseHead, body: Body, bodiless: bool) -> Self {
        let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        head.headers
            .write_end_to_end(&mut bytes, &HOST_ONLY_HEADERS);
        let length = head.headers.get("content-length").filter(|_| bodiless);
        let length = length.map_or_else(|| body.len().to_string(), str::to_owned);
        if head.status != 204 && head.status != 304 {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        Self {
            status: head.status,
            log_detail: "forwarded".to_owned(),
            head: bytes,
            body,
            _account: None,
            refusal: None,
            server: None,
            is_lost: false,
        }
    }

    /// Names the server that made the response.
    #[must_use]
    pub(crate) fn made_by(self, entry: &ServerEntry) -> Self {
        Self {
            server: Some((entry.id.clone(), entry.start_id)),
            ..self
        }
    }

    /// Holds the memory of the body until the response has been written.
    #[must_use]
    pub(crate) fn occupying(self, account: BufferAccount) -> Self {
        Self {
            _account: Some(account),
            ..self
        }
    }

    /// Names the server that has broken off the connection of the request.
    #[must_use]
    pub(crate) fn lost_at(self, entry: &ServerEntry) -> Self {
        Self {
            is_lost: true,
            ..self.made_by(entry)
        }
    }

    /// Adds a detail to the reason in the log.
    #[must_use]
    pub(crate) fn with_detail(self, detail: &str) -> Self {
        Self {
            log_detail: format!("{}, {detail}", self.log_detail),
            ..self
        }
    }

    /// Why the host refused the request; `None` if it did not.
    pub(crate) fn refusal(&self) -> Option<RefusalCause> {
        self.refusal
    }

    /// Adds what only another host needs to know about the response.
    #[must_use]
    pub(crate) fn for_host(mut self) -> Self {
        if let Some(cause) = self.refusal {
            let header = format!("{REFUSAL}: {cause:?}\r\n");
            self.head.extend_from_slice(header.as_bytes());
        }
        if let Some((server, start_id)) = &self.server {
            let name = if self.is_lost { LOST } else { SERVER };
            let mut headers = format!("{name}: {server}\r\n");
            if let Some(start_id) = start_id {
                headers.push_str(&format!("{SERVER_START}: {start_id}\r\n"));
            }
            self.head.extend_from_slice(headers.as_bytes());
        }
        self
    }

    /// Refuses a request that has not run, with the time after which the caller may retry.
    pub(crate) fn refused(refusal: RouteRefusal) -> Self {
        let status = match refusal.cause {
            RefusalCause::NoRoute => 404,
            RefusalCause::UnknownKey => 401,
            RefusalCause::Quota => 429,
            _ => 503,
        };
        let detail = format!("refused: {:?}", refusal.cause);
        Self {
            refusal: Some(refusal.cause),
            ..Self::generated(status, refusal.retry_after, &detail)
        }
    }

    /// Creates a response of the host itself, without a body.
    pub(crate) fn generated(status: u16, retry_after: Option<Duration>, log_detail: &str) -> Self {
        let reason = match status {
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Gateway Timeout",
        };
        let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n");
        if let Some(after) = retry_after {
            head.push_str(&format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
        }
        Self {
            status,
            log_detail: log_detail.to_owned(),
            head: head.into_bytes(),
            body: Body::default(),
            _account: None,
            refusal: None,
            server: None,
            is_lost: false,
        }
    }

    /// The body.
    pub(crate) fn body(&self) -> &Body {
        &self.body
    }

    /// The head in wire format; `keep_alive` tells whether the connection stays open.
    pub(crate) fn head_bytes(&self, request_id: Option<&str>, keep_alive: bool) -> Vec<u8> {
        let mut bytes = self.head.clone();
        let has_request_id = std::str::from_utf8(&self.head).is_ok_and(|head| {
            head.lines().any(|line| {
                let name = line.split(':').next().unwrap_or_default();
                name.eq_ignore_ascii_case(platform::REQUEST_ID)
            })
        });
        if let Some(id) = request_id.filter(|_| !has_request_id) {
            bytes.extend_from_slice(format!("{}: {id}\r\n", platform::REQUEST_ID).as_bytes());
        }
        if !keep_alive {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}
