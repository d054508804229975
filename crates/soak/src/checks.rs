//! Checks of guarantees with a bound on time or on a rate.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use amaranthshunt_support::platform::Execution;

use crate::callers::{RequestKind, RequestResult};
use crate::deployment::Deployment;
use crate::disturbances::CONTACT_TIME;
use crate::server::Server;

/// Time after its acknowledgement in which a configuration must be in force.
const CONFIG_DELAY: Duration = Duration::from_millis(2_500);
/// Window within which requests are compared with a server's limit.
const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);
/// Time after its first response with a limit from which the requests of a host count.
const TOLD_DELAY: Duration = Duration::from_millis(500);

/// Describes how a request was handled by another configuration than the one that has to be in
/// force, if it was.
///
/// Each version has a route of its own, and hosts that were disturbed lately are not bound.
pub(crate) fn outdated_configuration(
    deployment: &Deployment,
    request: &RequestResult,
) -> Option<String> {
    let (RequestKind::Version(version) | RequestKind::RemovedVersion(version)) = request.kind
    else {
        return None;
    };
    let host = &deployment.hosts[request.host];
    let is_bound = host.is_undisturbed(request.sent_at)
        && deployment.store_disturbances.are_past(request.sent_at);
    if !is_bound {
        return None;
    }
    let written = |version| deployment.config_writes.get(&version).copied();
    let is_due = |at: Instant| request.sent_at >= at + CONFIG_DELAY;
    let replaced = written(version + 1);
    let is_newest = replaced.is_none_or(|at| at > request.ended_at);
    match &request.answer {
        Some((404, _)) if written(version).is_some_and(is_due) && is_newest => {
            Some(format!("config: r{version} is not in force in time"))
        }
        Some((200, _)) if replaced.is_some_and(is_due) => Some(format!(
            "config: r{version} is in force though it was replaced"
        )),
        _ => None,
    }
}

/// Describes each server that got more requests than its limit allows.
pub(crate) fn exceeded_limits(
    deployment: &Deployment,
    executions: &[Execution],
    results: &[RequestResult],
) -> Vec<String> {
    let requests = results.iter().map(|result| (result.id.as_str(), result));
    let requests: BTreeMap<&str, &RequestResult> = requests.collect();
    let mut findings = Vec::new();
    for server in &deployment.servers {
        let prefix = format!("{}/", server.upstream.options().id);
        for limit in &server.limits {
            let until = limit.ended.unwrap_or_else(Instant::now);
            let within = executions.iter().filter(|run| {
                run.server.starts_with(&prefix) && run.began >= limit.named && run.began < until
            });
            let runs: Vec<(Instant, &RequestResult)> = within
                .filter_map(|run| Some((run.began, *requests.get(run.request.as_str())?)))
                .collect();
            let counted = counted_times(deployment, server, &runs, limit.named);
            let allowed = 1.5 * limit.per_second * LIMIT_WINDOW.as_secs_f64() + 5.0;
            let most = most_in_window(&counted);
            if most as f64 > allowed {
                findings.push(format!(
                    "limit: {prefix} with a limit of {} got {most} requests in 4 s, {allowed} allowed",
                    limit.per_second
                ));
            }
        }
    }
    findings
}

/// When the requests began that count: those of undisturbed hosts that knew of the limit, over
/// undisturbed links, from the time on from which it binds.
fn counted_times(
    deployment: &Deployment,
    server: &Server,
    runs: &[(Instant, &RequestResult)],
    named: Instant,
) -> Vec<Instant> {
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    for (_, request) in runs {
        if matches!(request.answer, Some((200, _))) {
            let at = told.entry(request.host).or_insert(request.ended_at);
            *at = (*at).min(request.ended_at);
        }
    }
    let counts = |(began, request): &&(Instant, &RequestResult)| {
        let host = &deployment.hosts[request.host];
        let knows = told
            .get(&request.host)
            .is_some_and(|at| *began >= *at + TOLD_DELAY);
        let is_undisturbed = host.is_undisturbed(*began) && server.disturbances.are_past(*began);
        knows && *began >= named + CONTACT_TIME && is_undisturbed
    };
    let mut times: Vec<Instant> = runs.iter().filter(counts).map(|(at, _)| *at).collect();
    times.sort();
    times
}

fn most_in_window(times: &[Instant]) -> usize {
    let counts = times.iter().enumerate().map(|(index, start)| {
        let later = times[index..].iter();
        later.take_while(|at| **at - *start < LIMIT_WINDOW).count()
    });
    counts.max().unwrap_or_default()
}
