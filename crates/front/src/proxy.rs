//! Proxies one request to a server, with retries.

mod relay;
mod send;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, LoadReport, RefusalCause, RoutePlan, RouteRefusal, Target,
};
use amaranthshunt_core::ids::ServerKey;
use amaranthshunt_platform as platform;
use bytes::Bytes;

use crate::allowances::ask_allowance;
use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::{RequestHead, ResponseHead};
use crate::messages::MissingKey;
use crate::response::Response;
use relay::relay;
pub(crate) use relay::{REFUSAL, SENDS, SERVER, SERVER_START};
use send::{SendResult, send};

/// Minimum time that must remain until the deadline for an attempt to start.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Failed connection attempts after which a request is given up.
const UNREACHABLE_LIMIT: usize = 4;

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) id: String,
    /// When its head had been read.
    pub(crate) received: Time,
    /// How long the caller waits for a response, from `received` on.
    pub(crate) caller_timeout: Option<Duration>,
    /// Whether the caller has disconnected.
    pub(crate) caller_left: AtomicBool,
    pub(crate) plan: RoutePlan,
    pub(crate) origin: Origin,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another host, which reaches no server and has sent it to servers this often already. It is
    /// never passed on again.
    Host { sends: usize },
}

impl Request {
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) fn deadline(&self) -> Time {
        let timeout = self.plan.route.timeout;
        self.received
            + self
                .caller_timeout
                .map_or(timeout, |caller_timeout| caller_timeout.min(timeout))
    }

    fn shard_key(&self) -> Option<u16> {
        self.head.headers.get(platform::SHARD_KEY)?.parse().ok()
    }

    fn is_bodiless(&self) -> bool {
        self.head.method == "HEAD"
    }

    /// The request with what is left of its time and one more header.
    fn to_bytes(&self, remaining: Duration, header: &str, value: &str) -> Vec<u8> {
        let Self { head, body, .. } = self;
        let mut bytes = format!("{} {} HTTP/1.1\r\n", head.method, head.target).into_bytes();
        let replaced = [
            platform::REQUEST_DEADLINE,
            platform::TARGET_INSTANCE,
            relay::SENDS,
            "expect",
        ];
        head.headers.write_end_to_end(&mut bytes, &replaced);
        let mut own_headers = format!(
            "{}: {}\r\n{header}: {value}\r\n",
            platform::REQUEST_DEADLINE,
            remaining.as_millis(),
        );
        if !body.is_empty()
            || head.headers.contains("content-length")
            || head.headers.contains("transfer-encoding")
        {
            own_headers.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        bytes.extend_from_slice(own_headers.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        bytes
    }
}

/// What to do after an attempt.
enum NextStep {
    Done(Response),
    /// The server did not run the request.
    NotRun(RouteRefusal),
    /// The server may have run the request: response status and log detail.
    MayHaveRun(u16, String),
}

/// Sends a request to servers until it has a final response.
pub(crate) async fn serve(host: Arc<EntryHost>, request: Arc<Request>) -> Response {
    let mut attempts = Attempts::default();
    match request.origin {
        Origin::Caller => {
            host.with_router(|router, _| router.record_demand(&request.plan, request.shard_key()));
        }
        Origin::Host { sends } => attempts.sends = sends,
    }
    loop {
        if request.origin == Origin::Caller && must_relay(&host, &attempts) {
            return relay(&host, &request, attempts).await;
        }
        let remaining = request.deadline().since(clock::now());
        if remaining < MIN_ATTEMPT_TIME {
            return attempts.final_response(RouteRefusal {
                cause: RefusalCause::Deadline,
                retry_after: None,
            });
        }
        let chosen = host.with_router(|router, now| {
            router.select_server(
                now,
                &request.plan,
                request.shard_key(),
                &attempts.avoided,
                attempts.sends,
                remaining,
            )
        });
        let target = match chosen {
            Ok(target) => target,
            Err(refusal) if attempts.may_ask(&refusal) => {
                attempts.has_asked = true;
                if ask_allowance(&host, &request.plan, request.shard_key()).await {
                    continue;
                }
                host.counters.limited.add();
                return attempts.final_response(refusal);
            }
            Err(refusal) => return attempts.final_response(refusal),
        };
        if attempts.sends > 0 {
            host.counters.retries.add();
        }
        let running = RunningGuard {
            host: &host,
            target: &target,
            ended: false,
        };
        let result = send(&host, &request, &target).await;
        let step = evaluate_attempt(&host, &request, &target, result, running, &mut attempts);
        match step {
            NextStep::Done(response) => return response,
            NextStep::NotRun(refusal) => attempts.refusal = Some(refusal),
            NextStep::MayHaveRun(status, detail) => {
                attempts.maybe_ran = Some((status, detail));
                if !request.plan.route.idempotent {
                    return attempts.final_response(RouteRefusal {
                        cause: RefusalCause::Repeats,
                        retry_after: None,
                    });
                }
            }
        }
        if attempts.unreachable >= UNREACHABLE_LIMIT {
            return attempts.final_response(RouteRefusal {
                cause: RefusalCause::NoServer,
                retry_after: None,
            });
        }
        if request.plan.keyed && attempts.misdirected {
            let retry_after = Some(Duration::from_millis(200));
            return attempts.final_response(RouteRefusal {
                cause: RefusalCause::NoOwner,
                retry_after,
            });
        }
    }
}

/// Whether a request has to go to another host: this one reaches no server, or may reach none and
/// has failed to connect for this request.
fn must_relay(host: &EntryHost, attempts: &Attempts) -> bool {
    host.with_router(|router, now| {
        !router.reaches_servers() || attempts.unreachable > 0 && router.may_lack_servers(now)
    })
}

/// The results of earlier attempts of a request.
#[derive(Default)]
struct Attempts {
    avoided: Vec<ServerKey>,
    sends: usize,
    unreachable: usize,
    misdirected: bool,
    /// Whether the leader has been asked for a request beyond this host's share of a limit.
    has_asked: bool,
    refusal: Option<RouteRefusal>,
    /// Status and log detail of an attempt after which the request may have run.
    maybe_ran: Option<(u16, String)>,
}

impl Attempts {
    /// Whether a refusal may be avoided by asking the leader: once, before the first send.
    fn may_ask(&self, refusal: &RouteRefusal) -> bool {
        refusal.cause == RefusalCause::Limited && !self.has_asked && self.sends == 0
    }

    /// The response after the last attempt; it says "not run" only if no attempt may have run.
    fn final_response(&self, refusal: RouteRefusal) -> Response {
        match &self.maybe_ran {
            Some((status, detail)) => {
                Response::generated(*status, None, &format!("unknown: {detail}"))
            }
            None => {
                let retry_after = refusal
                    .retry_after
                    .or(self.refusal.and_then(|refusal| refusal.retry_after));
                Response::refused(RouteRefusal {
                    retry_after,
                    ..refusal
                })
            }
        }
    }
}

/// Counts a request as running at a server until it has ended or its task is dropped.
struct RunningGuard<'a> {
    host: &'a EntryHost,
    target: &'a Target,
    ended: bool,
}

impl RunningGuard<'_> {
    fn finish(mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.ended = true;
        self.host
            .with_router(|router, now| router.record_outcome(now, self.target, outcome, report));
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = AttemptOutcome::Abandoned;
            self.host
                .with_router(|router, now| router.record_outcome(now, self.target, outcome, None));
        }
    }
}

fn evaluate_attempt(
    host: &EntryHost,
    request: &Request,
    target: &Target,
    result: SendResult,
    running: RunningGuard<'_>,
    attempts: &mut Attempts,
) -> NextStep {
    let server = &target.entry.id;
    match result {
        SendResult::Response(head, body, report) => {
            attempts.sends += 1;
            evaluate_response(
                host, request, target, &head, body, report, running, attempts,
            )
        }
        SendResult::Withdrawn => {
            running.finish(AttemptOutcome::Abandoned, None);
            NextStep::NotRun(RouteRefusal {
                cause: RefusalCause::NoServer,
                retry_after: Some(Duration::from_millis(200)),
            })
        }
        SendResult::Unreachable => {
            running.finish(AttemptOutcome::Unreachable, None);
            attempts.unreachable += 1;
            attempts.avoided.push(target.server);
            NextStep::NotRun(RouteRefusal {
                cause: RefusalCause::NoServer,
                retry_after: Some(Duration::from_millis(200)),
            })
        }
        SendResult::Pointless(cause) => {
            running.finish(AttemptOutcome::Abandoned, None);
            NextStep::Done(attempts.final_response(RouteRefusal {
                cause,
                retry_after: None,
            }))
        }
        SendResult::Saturated => {
            running.finish(AttemptOutcome::Saturated, None);
            attempts.unreachable += 1;
            attempts.avoided.push(target.server);
            NextStep::NotRun(RouteRefusal {
                cause: RefusalCause::Busy,
                retry_after: Some(Duration::from_millis(200)),
            })
        }
        SendResult::Lost(error) => {
            running.finish(AttemptOutcome::Lost, None);
            host.pool.close_idle_connections(&target.entry);
            attempts.sends += 1;
            attempts.avoided.push(target.server);
            NextStep::MayHaveRun(502, format!("{server}: {error}"))
        }
        SendResult::TimedOut => {
            running.finish(AttemptOutcome::Lost, None);
            host.pool.close_idle_connections(&target.entry);
            attempts.sends += 1;
            NextStep::Done(Response::generated(
                504,
                None,
                &format!("unknown: {server} did not answer in time"),
            ))
        }
    }
}

#[allow(clippy::too_many_arguments)]
fn evaluate_response(
    host: &EntryHost,
    request: &Request,
    target: &Target,
    head: &ResponseHead,
    body: Bytes,
    report: Option<LoadReport>,
    running: RunningGuard<'_>,
    attempts: &mut Attempts,
) -> NextStep {
    let server = &target.entry.id;
    let misdirected = head.status == 421;
    if misdirected || head.headers.contains(platform::NOT_EXECUTED) {
        attempts.avoided.push(target.server);
        let outcome = if misdirected {
            AttemptOutcome::Misdirected
        } else {
            AttemptOutcome::NotRun
        };
        running.finish(outcome, report);
        if misdirected && request.plan.keyed {
            attempts.misdirected = true;
            if let Some(key) = request.shard_key() {
                let service = request.plan.service.to_string();
                host.note_missing_key(MissingKey {
                    service,
                    key: u32::from(key),
                    server: server.to_string(),
                });
            }
        }
        let retry_after = Some(Duration::from_millis(150));
        let cause = if misdirected {
            RefusalCause::NoOwner
        } else {
            RefusalCause::Busy
        };
        return NextStep::NotRun(RouteRefusal { cause, retry_after });
    }
    let success = (200..300).contains(&head.status);
    let is_unmodified = head.headers.contains(platform::UPSTREAM_SIGNATURE)
        && !head.headers.contains("content-encoding");
    if success && !is_unmodified {
        running.finish(AttemptOutcome::Lost, report);
        attempts.avoided.push(target.server);
        return NextStep::MayHaveRun(
            502,
            format!("{server} sent an unsigned or re-encoded response"),
        );
    }
    running.finish(
        AttemptOutcome::Answered {
            success: head.status < 500,
        },
        report,
    );
    // These statuses claim that nothing ran, but the server did not confirm it with a header.
    let claims_not_run = matches!(head.status, 408 | 429 | 503);
    if claims_not_run
        || (head.status >= 500 && request.plan.route.idempotent && attempts.sends == 1)
    {
        attempts.avoided.push(target.server);
        return NextStep::MayHaveRun(502, format!("{server} responded with {}", head.status));
    }
    NextStep::Done(Response::forwarded(head, body, request.is_bodiless()).made_by(&target.entry))
}
