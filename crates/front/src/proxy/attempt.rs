//! One attempt of a request: what its outcome says of the server and what to do next.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{AttemptOutcome, LoadReport, RefusalCause, RouteRefusal, Target};
use amaranthshunt_platform as platform;

use super::send::{ReceivedResponse, SendResult};
use super::{Attempts, Request};
use crate::entry_host::EntryHost;
use crate::messages::MissingKey;
use crate::response::Response;
use crate::suspects::{is_broken_off, record_loss};

/// What to do after an attempt.
pub(super) enum NextStep {
    Done(Response),
    /// The server did not run the request.
    NotRun(RouteRefusal),
    /// The server may have run the request: response status and log detail.
    MayHaveRun(u16, String),
}

/// An attempt that counts as running at a server until it has ended or its task is dropped.
pub(super) struct Attempt<'a> {
    host: &'a Arc<EntryHost>,
    request: &'a Request,
    target: &'a Target,
    ended: bool,
}

impl<'a> Attempt<'a> {
    pub(super) fn new(host: &'a Arc<EntryHost>, request: &'a Request, target: &'a Target) -> Self {
        Self {
            host,
            request,
            target,
            ended: false,
        }
    }

    fn finish(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.ended = true;
        self.host
            .with_router(|router, now| router.record_outcome(now, self.target, outcome, report));
    }

    /// Ends the attempt of a request that no server has executed, so that it does not count towards its
    /// tenant's quota.
    fn finish_not_run(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.finish(outcome, report);
        let (plan, sent) = (&self.request.plan, self.target.sent);
        self.host
            .with_router(|router, now| router.return_quota(now, plan, sent));
    }

    /// Records the result of sending the request; returns what follows from it.
    pub(super) fn evaluate(mut self, result: SendResult, attempts: &mut Attempts) -> NextStep {
        let server = &self.target.entry.id;
        match result {
            SendResult::Response(response) => {
                attempts.sends += 1;
                self.evaluate_response(response, attempts)
            }
            SendResult::Withdrawn => {
                self.finish_not_run(AttemptOutcome::Abandoned, None);
                NextStep::NotRun(RouteRefusal {
                    cause: RefusalCause::NoServer,
                    retry_after: Some(Duration::from_millis(200)),
                })
            }
            SendResult::Unreachable => {
                self.finish_not_run(AttemptOutcome::Unreachable, None);
                attempts.unreachable += 1;
                attempts.avoided.push(self.target.server);
                NextStep::NotRun(RouteRefusal {
                    cause: RefusalCause::NoServer,
                    retry_after: Some(Duration::from_millis(200)),
                })
            }
            SendResult::Pointless(cause) => {
                self.finish_not_run(AttemptOutcome::Abandoned, None);
                NextStep::Done(attempts.final_response(RouteRefusal {
                    cause,
                    retry_after: None,
                }))
            }
            SendResult::Saturated => {
                self.finish_not_run(AttemptOutcome::Saturated, None);
                attempts.unreachable += 1;
                attempts.avoided.push(self.target.server);
                NextStep::NotRun(RouteRefusal {
                    cause: RefusalCause::Busy,
                    retry_after: Some(Duration::from_millis(200)),
                })
            }
            SendResult::Lost(error) => {
                self.finish(AttemptOutcome::Lost, None);
                self.host.pool.close_idle_connections(&self.target.entry);
                attempts.sends += 1;
                attempts.avoided.push(self.target.server);
                if is_broken_off(&error) {
                    let (entry, began) = (&self.target.entry, self.target.sent);
                    record_loss(self.host, self.request, entry, began, true);
                    attempts.lost_at = Some(entry.clone());
                }
                NextStep::MayHaveRun(502, format!("{server}: {error}"))
            }
            SendResult::TimedOut => {
                self.finish(AttemptOutcome::Lost, None);
                self.host.pool.close_idle_connections(&self.target.entry);
                attempts.sends += 1;
                NextStep::Done(Response::generated(
                    504,
                    None,
                    &format!("unknown: {server} did not answer in time"),
                ))
            }
        }
    }

    fn evaluate_response(
        &mut self,
        response: ReceivedResponse,
        attempts: &mut Attempts,
    ) -> NextStep {
        let (head, report) = (&response.head, response.load);
        let server = &self.target.entry.id;
        let misdirected = head.status == 421;
        if misdirected || head.headers.contains(platform::NOT_EXECUTED) {
            attempts.avoided.push(self.target.server);
            let outcome = if misdirected {
                AttemptOutcome::Misdirected
            } else {
                AttemptOutcome::NotRun
            };
            self.finish_not_run(outcome, report);
            if misdirected && self.request.plan.keyed {
                attempts.misdirected = true;
                if let Some(key) = self.request.shard_key() {
                    let service = self.request.plan.service.to_string();
                    self.host.note_missing_key(MissingKey {
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
            self.finish(AttemptOutcome::Lost, report);
            attempts.avoided.push(self.target.server);
            return NextStep::MayHaveRun(
                502,
                format!("{server} sent an unsigned or re-encoded response"),
            );
        }
        let suspects = &self.host.suspects;
        suspects.record_answer(&self.target.entry, || self.request.fingerprint());
        self.finish(
            AttemptOutcome::Answered {
                success: head.status < 500,
            },
            report,
        );
        // These statuses claim that nothing ran, but the server did not confirm it with a header.
        let claims_not_run = matches!(head.status, 408 | 429 | 503);
        if claims_not_run
            || (head.status >= 500 && self.request.plan.route.idempotent && attempts.sends == 1)
        {
            attempts.avoided.push(self.target.server);
            return NextStep::MayHaveRun(502, format!("{server} responded with {}", head.status));
        }
        let forwarded = Response::forwarded(head, response.body, self.request.is_bodiless());
        let forwarded = forwarded.made_by(&self.target.entry);
        NextStep::Done(forwarded.occupying(response.account))
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptOutcome::Abandoned, None);
        }
    }
}
