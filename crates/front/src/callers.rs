//! Connections of callers.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{Limits, RefusalCause, Refused};
use amaranthshunt_core::log::Code;
use amaranthshunt_platform as platform;
use async_std::net::TcpListener;
use async_std::task;
use futures::future::{Either, select};

use crate::answer::Answer;
use crate::clock;
use crate::front::Front;
use crate::http::{Connection, HttpError, RequestHead, within};
use crate::proxy::{Request, serve};

/// Time between two looks at whether the host is leaving.
const LOOK: Duration = Duration::from_millis(250);
/// Time for which a caller's body may take, where the caller states no deadline.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time for which a caller may take to read its answer.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Time after which a caller of a leaving host comes back, to another one.
const RETURN: Duration = Duration::from_millis(50);
/// Pause after a connection could not be accepted, for descriptors to become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the task is ended.
pub(crate) async fn accept(front: Arc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(attend(front.clone(), Connection::new(stream)));
            }
            Err(error) => {
                log::warn!("a caller cannot be accepted: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection, one after the other.
async fn attend(front: Arc<Front>, mut connection: Connection) {
    loop {
        let limits = limits_of(&front);
        if !await_request(&front, &mut connection, &limits).await {
            return;
        }
        let head = within(
            limits.header_timeout,
            connection.read_request(limits.header_bytes),
        )
        .await;
        let keeps = match head {
            Ok(head) => attend_request(&front, &mut connection, head, &limits).await,
            Err(error) => {
                reject(&front, &connection, &error).await;
                false
            }
        };
        if !keeps {
            return;
        }
    }
}

fn limits_of(front: &Front) -> Limits {
    front.route(|router, _| {
        router
            .config()
            .map_or_else(Limits::default, |config| config.limits.clone())
    })
}

/// Waits for the first byte of a request; `false` when the connection is to be closed.
async fn await_request(front: &Front, connection: &mut Connection, limits: &Limits) -> bool {
    let idle_end = clock::now() + limits.idle_timeout;
    loop {
        match async_std::future::timeout(LOOK, connection.wait()).await {
            Ok(Ok(more)) => return more,
            Ok(Err(_)) => return false,
            Err(_) if clock::now() >= idle_end || front.closes_idle() => return false,
            Err(_) => {}
        }
    }
}

async fn reject(front: &Front, connection: &Connection, error: &HttpError) {
    let status = match error {
        HttpError::HeadTooLong => 431,
        HttpError::BodyTooLong => 413,
        HttpError::Malformed(_) => 400,
        HttpError::Io(io) if io.kind() == std::io::ErrorKind::TimedOut => 408,
        HttpError::Io(_) | HttpError::Ended => return,
    };
    front.log(Code::RequestEnded, "-", format!("{status}, {error}"));
    let answer = Answer::own(status, None, "");
    // A caller that is gone needs no answer.
    let _ = connection.write(&answer.to_bytes(None, false)).await;
}

/// Reads the rest of a request and answers it; returns whether the connection stays open.
async fn attend_request(
    front: &Arc<Front>,
    connection: &mut Connection,
    head: RequestHead,
    limits: &Limits,
) -> bool {
    let received = clock::now();
    let number = |name| {
        head.headers
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let patience = number(platform::DEADLINE).map(Duration::from_millis);
    if head.headers.lists("expect", "100-continue")
        && connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .is_err()
    {
        return false;
    }
    let body_limit = patience.unwrap_or(BODY_LIMIT);
    let body = within(
        body_limit,
        connection.read_body(head.framing, limits.body_bytes),
    )
    .await;
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            reject(front, connection, &error).await;
            return false;
        }
    };
    let _under_way = front.begin();
    let id = head
        .headers
        .get(platform::REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    let keeps = head.keeps;
    let host = head.headers.get("host").unwrap_or_default().to_owned();
    let planned = if front.refuses() {
        Err(Refused {
            cause: RefusalCause::Leaving,
            retry_after: Some(RETURN),
        })
    } else {
        front.route(|router, _| router.plan(&host, &head.target))
    };
    let answer = match planned {
        Err(refused) => Some(refuse(front, &id, refused)),
        Ok(plan) => {
            let request = Request {
                head,
                body,
                id: id.clone(),
                received,
                patience,
                plan,
            };
            answer_request(front, connection, Arc::new(request)).await
        }
    };
    let Some(answer) = answer else {
        front.counters.left.add();
        return false;
    };
    let keeps = keeps && !front.is_leaving();
    let bytes = answer.to_bytes(
        Some(&id).filter(|id| !id.is_empty()).map(String::as_str),
        keeps,
    );
    let written = async_std::future::timeout(WRITE_LIMIT, connection.write(&bytes)).await;
    keeps && matches!(written, Ok(Ok(())))
}

fn refuse(front: &Front, id: &str, refused: Refused) -> Answer {
    let answer = Answer::refused(refused);
    tell(front, id, "-", &answer, Duration::ZERO);
    answer
}

/// Serves a request while watching its caller; `None` when the caller has left.
///
/// Work that may be repeated is broken off with its caller. Other work goes on to its end, since
/// nobody could say how far it got.
async fn answer_request(
    front: &Arc<Front>,
    connection: &mut Connection,
    request: Arc<Request>,
) -> Option<Answer> {
    let mut served = Box::pin(serve(front.clone(), request.clone()));
    let mut closed = Box::pin(connection.closed());
    let answer = loop {
        let wait = select(&mut served, &mut closed);
        match async_std::future::timeout(LOOK, wait).await {
            Ok(Either::Left((answer, _))) => break Some(answer),
            Ok(Either::Right(_)) => break None,
            Err(_) if front.ends() => {
                break Some(Answer::own(504, None, "unknown: the host ends"));
            }
            Err(_) => {}
        }
    };
    match &answer {
        Some(answer) => {
            let took = clock::now().since(request.received);
            tell(front, &request.id, &request.plan.route.name, answer, took);
        }
        None if !request.plan.route.idempotent => {
            task::spawn(served);
        }
        None => {}
    }
    answer
}

/// Counts an answer, and writes a line for each that is no plain success.
fn tell(front: &Front, id: &str, route: &str, answer: &Answer, took: Duration) {
    let counters = &front.counters;
    match answer.status {
        503 | 404 => counters.refused.add(),
        502 | 504 => counters.doubtful.add(),
        _ => counters.answered.add(),
    }
    if answer.status >= 400 {
        let detail = format!(
            "route {route}, {}, {}, after {} ms",
            answer.status,
            answer.story,
            took.as_millis()
        );
        front.log(Code::RequestEnded, id, detail);
    }
}
