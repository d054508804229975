//! Connections between the granting host and those that follow it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::Table;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};

use crate::clock;
use crate::front::Front;
use crate::granting::heat_of;
use crate::messages::{Beat, Body, Hello, Link, Report};
use crate::watch::{self, KINDS};

/// Time without a beat after which the granting host counts as lost.
pub(crate) const SILENCE: Duration = Duration::from_millis(1_600);
/// Time within which a connection to another host is open.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time for which the granting host may be without the store before another one replaces it.
const STORELESS: Duration = Duration::from_millis(1_000);
/// Messages that wait for one connection.
const QUEUE: usize = 64;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time that a host has to say what it wants.
const HELLO_LIMIT: Duration = Duration::from_secs(2);

/// Why a host no longer follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    /// The granting host cannot be reached or is silent.
    Lost,
    /// The granting host leaves, or is without the store while this host is not.
    Resigned,
}

/// Accepts other hosts until the task is ended.
pub(crate) async fn accept(front: Arc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(attend(front.clone(), Link::new(stream)));
            }
            Err(error) => {
                log::warn!("a host cannot be accepted: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn attend(front: Arc<Front>, mut link: Link) -> Option<()> {
    match timeout(HELLO_LIMIT, link.receive()).await.ok()?? {
        Body::Hello(hello) => lead(&front, link, hello).await,
        Body::Ask(_) => {
            let silent = clock::now().since(front.granter_heard());
            link.send(Body::Silent(silent.as_millis() as u64)).await
        }
        _ => None,
    }
}

/// Serves one host that follows, while this host grants.
async fn lead(front: &Front, mut link: Link, hello: Hello) -> Option<()> {
    let leading = front.leading()?;
    let (sender, messages) = bounded(QUEUE);
    let number = leading.join(&hello.name, sender);
    loop {
        let next = Box::pin(messages.recv());
        let received = Box::pin(link.receive());
        let step = match select(next, received).await {
            Either::Left((message, _)) => Either::Left(message.ok()),
            Either::Right((body, _)) => Either::Right(body),
        };
        let done = match step {
            Either::Left(Some(bytes)) => timeout(SILENCE, link.send_frame(bytes))
                .await
                .ok()
                .flatten(),
            Either::Right(Some(Body::Report(report))) => {
                leading.report(&hello.name, report);
                Some(())
            }
            Either::Right(Some(Body::TableLost(_))) => {
                leading.send_table(&hello.name);
                Some(())
            }
            _ => None,
        };
        if done.is_none() || front.leading().is_none() {
            leading.leave(&hello.name, number);
            return None;
        }
    }
}

/// Follows the granting host until it is lost or resigns.
pub(crate) async fn follow(front: &Front, address: SocketAddr, term: u64) -> Ended {
    follow_link(front, address, term)
        .await
        .unwrap_or(Ended::Lost)
}

async fn follow_link(front: &Front, address: SocketAddr, term: u64) -> Option<Ended> {
    let stream = timeout(CONNECT_LIMIT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let mut link = Link::new(stream);
    let name = front.settings.name.clone();
    link.send(Body::Hello(Hello { name })).await?;
    let mut storeless: Option<Time> = None;
    loop {
        match timeout(SILENCE, link.receive()).await.ok()?? {
            Body::Beat(beat) if beat.term == term => {
                front.hear_granter();
                let told = beat.changes.iter().zip(&beat.ages);
                for (kind, (change, age)) in KINDS.iter().zip(told) {
                    let age = Duration::from_millis(*age);
                    front.refresh(kind, |freshness, now| freshness.tell(now, *change, age));
                }
                front.route(|router, _| router.set_hosts(beat.hosts as usize));
                timeout(SILENCE, link.send(Body::Report(report(front, &beat))))
                    .await
                    .ok()??;
                if front.is_leaving() || is_better_off(front, &beat, &mut storeless) {
                    return Some(Ended::Resigned);
                }
            }
            Body::Table(table) if table.term == term => {
                front.route(|router, _| router.set_table(table.into()));
            }
            Body::Changes(changes) if changes.term == term => {
                let changes = Table::from(changes);
                let known = front.route(|router, _| {
                    router.change_table(term, changes.version, &changes.services)
                });
                if !known {
                    timeout(SILENCE, link.send(Body::TableLost(true)))
                        .await
                        .ok()??;
                }
            }
            Body::News(news) => watch::take_news(front, news),
            Body::Resign(_) => return Some(Ended::Resigned),
            _ => return None,
        }
    }
}

fn report(front: &Front, beat: &Beat) -> Report {
    Report {
        echo: beat.sent,
        heat: heat_of(front),
        missing: front.take_missing(),
        term: 0,
    }
}

/// Whether the granting host has been without the store for long, and this host was answered
/// meanwhile.
fn is_better_off(front: &Front, beat: &Beat, storeless: &mut Option<Time>) -> bool {
    if beat.store {
        *storeless = None;
        return false;
    }
    let now = clock::now();
    let since = *storeless.get_or_insert(now);
    now.since(since) >= STORELESS && front.store.answered() > since
}

/// Asks a host for how long the granting one has been silent.
pub(crate) async fn ask(address: SocketAddr) -> Option<Duration> {
    let question = async {
        let mut link = Link::new(TcpStream::connect(address).await.ok()?);
        link.send(Body::Ask(true)).await?;
        match link.receive().await? {
            Body::Silent(millis) => Some(Duration::from_millis(millis)),
            _ => None,
        }
    };
    timeout(CONNECT_LIMIT, question).await.ok().flatten()
}
