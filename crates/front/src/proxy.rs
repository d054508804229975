//! One request's way to a server and back.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Ending, LoadReport, Plan, RefusalCause, Refused, Target};
use amaranthshunt_core::ids::ServerKey;
use amaranthshunt_platform as platform;
use bytes::Bytes;

use crate::answer::Answer;
use crate::clock;
use crate::front::Front;
use crate::http::{Connection, HttpError, RequestHead, ResponseHead, within};
use crate::messages::Missing;

/// Time within which a connection to a server is open, or the server counts as out of reach.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Time past a request's end in which the server's own word on it may still come.
const LAST_WORD: Duration = Duration::from_millis(80);
/// Time for a connection without a stated idle time to be kept.
const IDLE: Duration = Duration::from_secs(3);
/// Time before the other end's idle time at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest answer that is taken, in bytes; answers are held whole until they are known to be whole.
const ANSWER_LIMIT: usize = 32 << 20;
/// Least time that a send is worth.
const LEAST_TIME: Duration = Duration::from_millis(10);
/// Answers to other requests that are passed over on one connection.
const SURPLUS_LIMIT: usize = 3;
/// Sends that found nobody before a request is given up.
const UNREACHABLE_LIMIT: usize = 4;

/// A request that was read whole.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) id: String,
    /// When it was read.
    pub(crate) received: Time,
    /// How long the caller waits, counted from then.
    pub(crate) patience: Option<Duration>,
    pub(crate) plan: Plan,
}

impl Request {
    /// When an answer is no longer of use.
    pub(crate) fn end(&self) -> Time {
        let timeout = self.plan.route.timeout;
        self.received
            + self
                .patience
                .map_or(timeout, |patience| patience.min(timeout))
    }

    fn key(&self) -> Option<u16> {
        self.head.headers.get(platform::SHARD_KEY)?.parse().ok()
    }

    fn is_bodiless(&self) -> bool {
        self.head.method == "HEAD"
    }

    fn to_bytes(&self, target: &Target, left: Duration) -> Vec<u8> {
        let Self { head, body, .. } = self;
        let mut bytes = format!("{} {} HTTP/1.1\r\n", head.method, head.target).into_bytes();
        let replaced = [platform::DEADLINE, platform::TARGET, "expect"];
        head.headers.write_through(&mut bytes, &replaced);
        let mut own = format!(
            "{}: {}\r\n{}: {}\r\n",
            platform::DEADLINE,
            left.as_millis(),
            platform::TARGET,
            target.entry.id
        );
        if !body.is_empty()
            || head.headers.has("content-length")
            || head.headers.has("transfer-encoding")
        {
            own.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        bytes.extend_from_slice(own.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        bytes
    }
}

/// How one send ended.
enum Sent {
    /// A whole answer with this request's id.
    Answer(ResponseHead, Bytes),
    /// Nothing was sent.
    Unreachable,
    /// It may have run.
    Lost(HttpError),
    /// It may have run, and time is over.
    TimedOut,
}

/// What follows from a send.
enum Next {
    Done(Answer),
    /// The request has not run there.
    NotRun(Refused),
    /// The request may have run there.
    Doubt(u16, String),
}

/// Serves a request from choosing a server to its answer.
pub(crate) async fn serve(front: Arc<Front>, request: Arc<Request>) -> Answer {
    let mut attempts = Attempts::default();
    loop {
        let left = request.end().since(clock::now());
        if left < LEAST_TIME {
            return attempts.give_up(Refused {
                cause: RefusalCause::Deadline,
                retry_after: None,
            });
        }
        let picked = front.route(|router, now| {
            router.pick(
                now,
                &request.plan,
                request.key(),
                &attempts.avoided,
                attempts.sends,
                left,
            )
        });
        let target = match picked {
            Ok(target) => target,
            Err(refused) => return attempts.give_up(refused),
        };
        if attempts.sends > 0 {
            front.counters.repeated.add();
        }
        let guard = Running {
            front: &front,
            target: &target,
            ended: false,
        };
        let sent = send(&front, &request, &target).await;
        let next = judge(&front, &request, &target, sent, guard, &mut attempts);
        match next {
            Next::Done(answer) => return answer,
            Next::NotRun(refused) => attempts.refused = Some(refused),
            Next::Doubt(status, story) => {
                attempts.doubt = Some((status, story));
                if !request.plan.route.idempotent {
                    return attempts.give_up(Refused {
                        cause: RefusalCause::Repeats,
                        retry_after: None,
                    });
                }
            }
        }
        if attempts.unreachable >= UNREACHABLE_LIMIT {
            return attempts.give_up(Refused {
                cause: RefusalCause::NoServer,
                retry_after: None,
            });
        }
        if request.plan.keyed && attempts.misdirected {
            let after = Some(Duration::from_millis(200));
            return attempts.give_up(Refused {
                cause: RefusalCause::NoOwner,
                retry_after: after,
            });
        }
    }
}

/// What earlier sends of a request came to.
#[derive(Default)]
struct Attempts {
    avoided: Vec<ServerKey>,
    sends: usize,
    unreachable: usize,
    misdirected: bool,
    refused: Option<Refused>,
    /// The status and the story of a send that may have run.
    doubt: Option<(u16, String)>,
}

impl Attempts {
    /// The answer of a request that is not sent again: "not run" only where that is certain.
    fn give_up(&self, refused: Refused) -> Answer {
        match &self.doubt {
            Some((status, story)) => Answer::own(*status, None, &format!("unknown: {story}")),
            None => {
                let after = refused
                    .retry_after
                    .or(self.refused.and_then(|refused| refused.retry_after));
                Answer::refused(Refused {
                    retry_after: after,
                    ..refused
                })
            }
        }
    }
}

/// Counts a request as running at a server until it has ended, also when its task is dropped.
struct Running<'a> {
    front: &'a Front,
    target: &'a Target,
    ended: bool,
}

impl Running<'_> {
    fn end(mut self, ending: Ending, report: Option<LoadReport>) {
        self.ended = true;
        self.front
            .route(|router, now| router.ended(now, self.target, ending, report));
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let ending = Ending::Abandoned;
            self.front
                .route(|router, now| router.ended(now, self.target, ending, None));
        }
    }
}

fn judge(
    front: &Front,
    request: &Request,
    target: &Target,
    sent: Sent,
    running: Running<'_>,
    attempts: &mut Attempts,
) -> Next {
    let server = &target.entry.id;
    match sent {
        Sent::Answer(head, body) => {
            attempts.sends += 1;
            let report = head
                .headers
                .get(platform::LOAD)
                .and_then(platform::read_load);
            judge_answer(
                front, request, target, &head, body, report, running, attempts,
            )
        }
        Sent::Unreachable => {
            running.end(Ending::Unreachable, None);
            attempts.unreachable += 1;
            attempts.avoided.push(target.server);
            Next::NotRun(Refused {
                cause: RefusalCause::NoServer,
                retry_after: Some(Duration::from_millis(200)),
            })
        }
        Sent::Lost(error) => {
            running.end(Ending::Lost, None);
            front.pool.forget(&target.entry);
            attempts.sends += 1;
            attempts.avoided.push(target.server);
            Next::Doubt(502, format!("{server}: {error}"))
        }
        Sent::TimedOut => {
            running.end(Ending::Lost, None);
            front.pool.forget(&target.entry);
            attempts.sends += 1;
            Next::Done(Answer::own(
                504,
                None,
                &format!("unknown: {server} did not answer in time"),
            ))
        }
    }
}

#[allow(clippy::too_many_arguments)]
fn judge_answer(
    front: &Front,
    request: &Request,
    target: &Target,
    head: &ResponseHead,
    body: Bytes,
    report: Option<LoadReport>,
    running: Running<'_>,
    attempts: &mut Attempts,
) -> Next {
    let server = &target.entry.id;
    let wrong = head.status == 421;
    if wrong || head.headers.has(platform::NOT_RUN) {
        attempts.avoided.push(target.server);
        let ending = if wrong {
            Ending::Misdirected
        } else {
            Ending::NotRun
        };
        running.end(ending, report);
        if wrong && request.plan.keyed {
            attempts.misdirected = true;
            if let Some(key) = request.key() {
                let service = request.plan.service.to_string();
                front.note_missing(Missing {
                    service,
                    key: u32::from(key),
                    server: server.to_string(),
                });
            }
        }
        let after = Some(Duration::from_millis(150));
        let cause = if wrong {
            RefusalCause::NoOwner
        } else {
            RefusalCause::Busy
        };
        return Next::NotRun(Refused {
            cause,
            retry_after: after,
        });
    }
    let success = (200..300).contains(&head.status);
    let sound = head.headers.has(platform::SIGNATURE) && !head.headers.has("content-encoding");
    if success && !sound {
        running.end(Ending::Lost, report);
        attempts.avoided.push(target.server);
        return Next::Doubt(502, format!("{server} sent bytes that are not its own"));
    }
    running.end(
        Ending::Answered {
            success: head.status < 500,
        },
        report,
    );
    // These statuses promise that nothing was run, and the server did not say so.
    let promises = matches!(head.status, 408 | 429 | 503);
    if promises || (head.status >= 500 && request.plan.route.idempotent && attempts.sends == 1) {
        attempts.avoided.push(target.server);
        return Next::Doubt(502, format!("{server} answered {}", head.status));
    }
    Next::Done(Answer::passed(head, body, request.is_bodiless()))
}

/// Sends a request to a server and reads its answer.
async fn send(front: &Front, request: &Request, target: &Target) -> Sent {
    let entry = &target.entry;
    let left = request.end().since(clock::now());
    let (mut connection, kept) = match front.pool.take(entry) {
        Some(connection) => (connection, true),
        None => match Connection::open(entry.address, CONNECT_LIMIT.min(left)).await {
            Ok(connection) => (connection, false),
            Err(_) => return Sent::Unreachable,
        },
    };
    if !kept {
        front.counters.opened.add();
    }
    let left = request.end().since(clock::now());
    let bytes = request.to_bytes(target, left);
    let result = within(left + LAST_WORD, receive(&mut connection, request, &bytes)).await;
    match result {
        Ok(Received { head, body, clean }) => {
            if clean && head.keeps && !connection.has_more() {
                let stated = head
                    .headers
                    .get(platform::KEEP_ALIVE)
                    .and_then(platform::read_keep_alive);
                let span = stated.map_or(IDLE, |span| span.saturating_sub(IDLE_MARGIN));
                front.pool.keep(entry, connection, span);
            }
            Sent::Answer(head, body)
        }
        Err(_) if clock::now() >= request.end() => Sent::TimedOut,
        Err(error) => Sent::Lost(error),
    }
}

/// A whole answer to a request.
struct Received {
    head: ResponseHead,
    body: Bytes,
    /// Whether nothing else is due on the connection in either direction.
    clean: bool,
}

/// Reads the answer to a request, passing over those to earlier requests.
async fn receive(
    connection: &mut Connection,
    request: &Request,
    bytes: &[u8],
) -> crate::http::Result<Received> {
    let bodiless = request.is_bodiless();
    let (mut head, mut clean) = connection.exchange(bytes, bodiless).await?;
    for _ in 0..SURPLUS_LIMIT {
        let body = connection.read_body(head.framing, ANSWER_LIMIT).await?;
        let id = head.headers.get(platform::REQUEST_ID);
        if id.is_none_or(|id| id == request.id) {
            return Ok(Received { head, body, clean });
        }
        clean = false;
        head = connection.read_response(bodiless).await?;
    }
    Err(HttpError::Malformed("only answers to other requests"))
}
