//! Proxies one request to a server, with retries.

mod attempt;
mod relay;
mod send;

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{RefusalCause, RoutePlan, RouteRefusal, ServerEntry};
use amaranthshunt_core::ids::ServerKey;
use amaranthshunt_platform as platform;

use crate::allowances::{ask_allowance, await_quota};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::{Body, BufferAccount, RequestHead};
use crate::response::Response;
use crate::suspects::{self, SendPermit};
use attempt::{Attempt, NextStep};
use relay::relay;
pub(crate) use relay::{LOST, REFUSAL, SENDS, SERVER, SERVER_START};
use send::send;

/// Minimum time that must remain until the deadline for an attempt to start.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Times that a request waits for more of its tenant's quota: a reply of the leader, and the next one if
/// others have used up what it granted.
const MAX_QUOTA_WAITS: u32 = 4;
/// Failed connection attempts after which a request is given up.
const UNREACHABLE_LIMIT: usize = 4;

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Body,
    /// The memory of the request, until it has been served.
    pub(crate) _account: BufferAccount,
    pub(crate) id: String,
    /// When its head had been read.
    pub(crate) received: Time,
    /// How long the caller waits for a response, from `received` on.
    pub(crate) caller_timeout: Option<Duration>,
    /// Whether the caller has disconnected.
    pub(crate) caller_left: AtomicBool,
    pub(crate) plan: RoutePlan,
    pub(crate) origin: Origin,
    pub(crate) fingerprint: OnceLock<u64>,
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

    /// Identifies the request when it comes again.
    pub(crate) fn fingerprint(&self) -> u64 {
        let fingerprint = || suspects::fingerprint(&self.head, &self.body);
        *self.fingerprint.get_or_init(fingerprint)
    }

    fn shard_key(&self) -> Option<u16> {
        self.head.headers.get(platform::SHARD_KEY)?.parse().ok()
    }

    fn is_bodiless(&self) -> bool {
        self.head.method == "HEAD"
    }

    /// The head with what is left of the request's time and one more header.
    fn head_bytes(&self, remaining: Duration, header: &str, value: &str) -> Vec<u8> {
        let Self { head, body, .. } = self;
        let mut bytes = format!("{} {} HTTP/1.1\r\n", head.method, head.target).into_bytes();
        let mut replaced = vec![
            platform::REQUEST_DEADLINE,
            platform::TARGET_INSTANCE,
            relay::SENDS,
            "expect",
        ];
        if self.plan.has_tenants {
            replaced.extend([platform::AUTHORIZATION, platform::TENANT_ID]);
        }
        head.headers.write_end_to_end(&mut bytes, &replaced);
        let mut own_headers = String::new();
        if let Some(tenant) = &self.plan.tenant {
            own_headers.push_str(&format!("{}: {}\r\n", platform::TENANT_ID, tenant.name));
        }
        own_headers.push_str(&format!(
            "{}: {}\r\n{header}: {value}\r\n",
            platform::REQUEST_DEADLINE,
            remaining.as_millis(),
        ));
        if !body.is_empty()
            || head.headers.contains("content-length")
            || head.headers.contains("transfer-encoding")
        {
            own_headers.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        bytes.extend_from_slice(own_headers.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
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
    let _permit = match admit(&host, &request).await {
        Ok(permit) => permit,
        Err(response) => return response,
    };
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
            if !std::mem::replace(&mut attempts.is_counted, true) {
                router.record_tenant_demand(&request.plan);
            }
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
            Err(refusal) if refusal.cause == RefusalCause::Quota => {
                attempts.quota_waits += 1;
                if attempts.quota_waits <= MAX_QUOTA_WAITS
                    && await_quota(&host, &request.plan).await
                {
                    continue;
                }
                let refusal =
                    host.with_router(|router, now| router.quota_refusal(now, &request.plan));
                return attempts.final_response(refusal);
            }
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
        let attempt = Attempt::new(&host, &request, &target);
        let result = send(&host, &request, &target).await;
        match attempt.evaluate(result, &mut attempts) {
            NextStep::Done(response) => return response,
            NextStep::NotRun(refusal) => attempts.refusal = Some(refusal),
            NextStep::MayHaveRun(status, detail) => {
                attempts.maybe_ran = Some((status, detail));
                // A suspect that has lost its server once more is not sent to another one.
                let is_suspect =
                    attempts.lost_at.is_some() && host.suspects.is_suspect(request.fingerprint());
                if !request.plan.route.idempotent || is_suspect {
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

/// Waits until a request may be sent that may crash servers.
///
/// # Errors
///
/// Fails with the refusal if it may not.
async fn admit(host: &EntryHost, request: &Request) -> Result<SendPermit, Response> {
    if host.suspects.is_idle() {
        return Ok(None);
    }
    let remaining = request.deadline().since(clock::now());
    let permit = host.suspects.admit(request.fingerprint(), remaining / 2);
    permit.await.map_err(|refused| {
        host.counters.quarantined.add();
        Response::refused(refused.refusal).with_detail(&refused.detail)
    })
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
    /// Whether the request is counted as its tenant's.
    is_counted: bool,
    /// How often the request has waited for more of its tenant's quota.
    quota_waits: u32,
    refusal: Option<RouteRefusal>,
    /// Status and log detail of an attempt after which the request may have run.
    maybe_ran: Option<(u16, String)>,
    /// The server that has broken off the connection of the last attempt.
    lost_at: Option<ServerEntry>,
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
                let response = Response::generated(*status, None, &format!("unknown: {detail}"));
                match &self.lost_at {
                    Some(entry) => response.lost_at(entry),
                    None => response,
                }
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
