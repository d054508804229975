//! Checks that hosts heed what servers say of themselves: that they leave, and pauses.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use amaranthshunt_support::platform::Arrival;

use crate::callers::RequestResult;
use crate::deployment::Deployment;

/// Time after a response that says that a server leaves from which it gets no requests of a host.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time after a response that asks for a pause in which requests may still arrive.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Requests of one host that may reach a server within a pause.
const ALLOWED_ARRIVALS: usize = 2;

/// Describes the requests that reached servers which leave or have asked for a pause.
pub(crate) fn ignored_signals(deployment: &Deployment, results: &[RequestResult]) -> Vec<String> {
    let requests = results.iter().map(|result| (result.id.as_str(), result));
    let requests: BTreeMap<&str, &RequestResult> = requests.collect();
    let arrivals = deployment.recorder.arrivals();
    let mut by_pair: BTreeMap<(usize, &str), Vec<(&Arrival, &RequestResult)>> = BTreeMap::new();
    for arrival in &arrivals {
        if let Some(request) = requests.get(arrival.request.as_str()) {
            let pair = (request.host, arrival.server.as_str());
            by_pair.entry(pair).or_default().push((arrival, request));
        }
    }
    let pairs = by_pair.into_iter();
    pairs
        .flat_map(|((host, server), arrivals)| {
            let mut findings = late_requests(deployment, host, server, &arrivals);
            findings.extend(ignored_pauses(deployment, host, server, &arrivals));
            findings
        })
        .collect()
}

/// Requests that were sent to a host later than the drain time after it had passed on a response that
/// says that the server leaves, and reached the server all the same.
fn late_requests(
    deployment: &Deployment,
    host: usize,
    server: &str,
    arrivals: &[(&Arrival, &RequestResult)],
) -> Vec<String> {
    let passed_on = arrivals.iter().filter_map(|(arrival, request)| {
        let answer = arrival.answer.filter(|answer| answer.says_leaving)?;
        let (status, _) = request.answer.as_ref()?;
        (*status == answer.status).then_some(request.ended_at)
    });
    let Some(told) = passed_on.min() else {
        return Vec::new();
    };
    let host = &deployment.hosts[host];
    let is_late = |(arrival, request): &&(&Arrival, &RequestResult)| {
        let is_run = arrival.answer.is_none_or(|answer| answer.status != 421);
        is_run && request.sent_at > told + DRAIN_TIME && !host.was_disturbed(told, arrival.at)
    };
    let late = arrivals.iter().filter(is_late);
    late.map(|(arrival, request)| {
        let millis = (request.sent_at - told).as_millis();
        let (id, name) = (&arrival.request, &host.name);
        format!("leaving: {id} reached {server} through {name}, sent {millis} ms after it was told")
    })
    .collect()
}

/// Pauses in which the host sent too many requests.
fn ignored_pauses(
    deployment: &Deployment,
    host: usize,
    server: &str,
    arrivals: &[(&Arrival, &RequestResult)],
) -> Vec<String> {
    let host = &deployment.hosts[host];
    let id = server.split('/').next().unwrap_or_default();
    let mut servers = deployment.servers.iter();
    let Some(link) = servers.find(|server| server.upstream.options().id == id) else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    for (arrival, _) in arrivals {
        let Some((asked, pause)) = arrival
            .answer
            .and_then(|answer| Some((answer.at, answer.pause?)))
        else {
            continue;
        };
        let end = asked + pause;
        let counts = |at: Instant| at > asked + TRANSIT_TIME && at < end;
        let within = arrivals
            .iter()
            .filter(|(other, _)| counts(other.at))
            .count();
        let is_disturbed =
            host.was_disturbed(asked, end) || link.disturbances.overlap(arrival.at, end);
        if within > ALLOWED_ARRIVALS && !is_disturbed {
            let (name, millis) = (&host.name, pause.as_millis());
            findings.push(format!(
                "pause: {server} asked {name} for {millis} ms and got {within} requests"
            ));
        }
    }
    findings
}
