//! Runs an admitted request, retrying it on other targets until its answer is complete.

use azuresaddle_core::burn::Sample;
use azuresaddle_core::prelude::*;
use azuresaddle_sched::Outcome;
use tokio::time::Instant;

use super::job::Job;
use super::problems;
use super::relay::{Progress, Relay, RelayError};
use super::reserve::Placement;
use super::sink::CallerSink;
use super::state::Traffic;
use crate::engine::EngineError;
use crate::peer::{Report, ReportKind};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u8 = 4;

impl<N: Network> Traffic<N> {
    /// Runs a job to its end. The caller gets exactly one final event or error, by the deadline,
    /// unless it has disconnected or resumed the answer at another node.
    pub(super) async fn run_job(&self, job: Job, mut sink: CallerSink) {
        let mut progress = Progress::default();
        let caller = sink.watch();
        let end = tokio::select! {
            end = self.try_targets(&job, &mut sink, &mut progress) => end,
            () = caller.closed() => Err(RelayError::CallerGone),
            () = tokio::time::sleep_until(job.deadline) => {
                Err(RelayError::Failed(problems::deadline_passed(Verdict::NotRun)))
            }
        };
        drop(caller);
        let problem = match end {
            Ok(()) => None,
            Err(RelayError::CallerGone | RelayError::Displaced) => return,
            Err(RelayError::TargetFailed(detail) | RelayError::TargetRefused(detail)) => {
                Some(problems::target_failed(&detail, progress.verdict()))
            }
            Err(RelayError::Failed(problem)) => {
                let verdict = problem.verdict.max(progress.verdict());
                Some(problem.verdict(verdict))
            }
        };
        self.record_outcome(&job, &progress, problem.as_ref());
        if let Some(problem) = problem {
            // Bounds the wait for a caller that does not read.
            let timeout = self.settings.target_timeout;
            let _ = tokio::time::timeout(timeout, sink.fail(problem)).await;
        }
    }

    async fn try_targets(
        &self,
        job: &Job,
        sink: &mut CallerSink,
        progress: &mut Progress,
    ) -> Result<(), RelayError> {
        let pool = self.choose_pool(job).map_err(RelayError::Failed)?;
        let mut stream = StreamId::first(job.request);
        let mut exclude = Vec::new();
        loop {
            let attempt = Attempt::start(self, &pool, stream);
            let req = job.reserve_request(&pool, stream, &self.settings.name, &exclude);
            let placement = self
                .reserve(req, job.deadline)
                .await
                .map_err(RelayError::Failed)?;
            let end = self.run_attempt(job, &placement, sink, progress).await;
            let failure = match end {
                Ok(()) => {
                    attempt.end(Some(ReportKind::Ended(progress.completed())));
                    return Ok(());
                }
                Err(RelayError::Displaced) => {
                    attempt.end(None);
                    return Err(RelayError::Displaced);
                }
                Err(RelayError::TargetFailed(detail)) => {
                    exclude.extend(placement.targets.first().map(|(name, _)| name.clone()));
                    detail
                }
                Err(RelayError::TargetRefused(detail)) => detail,
                Err(end) => return Err(end),
            };
            attempt.end(None);
            let attempts_exhausted = stream.attempt + 1 >= MAX_ATTEMPTS;
            if attempts_exhausted || !progress.verdict().may_retry(job.idempotent) {
                return Err(RelayError::TargetFailed(failure));
            }
            tracing::info!("traffic: {stream} failed; retrying: {failure}");
            self.metrics.count("traffic.retry");
            stream = stream.retry();
        }
    }

    /// Runs one attempt and reports a failure of the target to the pool's owner.
    async fn run_attempt(
        &self,
        job: &Job,
        placement: &Placement,
        sink: &mut CallerSink,
        progress: &mut Progress,
    ) -> Result<(), RelayError> {
        let may_have_run_before = progress.may_have_run;
        progress.may_have_run = true;
        let opened = match self.start_stream(job, placement, &progress.tokens).await {
            Ok(opened) => Some(opened),
            Err(e) if e.verdict() == Verdict::NotRun => {
                progress.may_have_run = may_have_run_before;
                self.report(placement, report_kind(&e, placement));
                return Err(match e {
                    EngineError::Refused(_) => RelayError::TargetRefused(e.to_string()),
                    _ => RelayError::TargetFailed(e.to_string()),
                });
            }
            // The start request may have arrived: the relay then reads the stream that it started
            // instead of starting another one.
            Err(_) => None,
        };
        let mut relay = Relay {
            traffic: self,
            account: &job.account,
            placement,
            sink,
            progress,
            is_start_sent: false,
        };
        let end = relay.run(opened).await;
        if let Err(RelayError::TargetFailed(_)) = &end {
            let target_failed = true;
            self.report(placement, ReportKind::Abandoned { target_failed });
        }
        end
    }

    /// Records the outcome of a job in the metrics and the service-level counts.
    fn record_outcome(&self, job: &Job, progress: &Progress, problem: Option<&Problem>) {
        let now = Instant::now();
        let first_token = progress.first_token_at.map(|at| at - job.arrived);
        if let Some(first_token) = first_token {
            self.metrics.time("traffic.first_token", first_token);
        }
        let outcome = if problem.is_none() { "whole" } else { "failed" };
        self.metrics.count(&format!("traffic.{outcome}"));
        let limit = job.first_token_limit(self.settings.initial_prefill_rate);
        let refused = problem.is_some_and(|p| p.verdict == Verdict::NotRun);
        let sample = Sample {
            first_token,
            first_token_missed: first_token.is_none_or(|took| took > limit),
            deadline_missed: now >= job.deadline,
            answered: problem.is_none(),
            refused,
        };
        self.burn.record(now, &job.account, &job.rule, &sample);
    }
}

/// What is reported to the owner about an attempt that the target did not start.
fn report_kind(e: &EngineError, placement: &Placement) -> ReportKind {
    // Lent memory may be held by the other targets, so only a single target's refusal is final.
    match e {
        EngineError::Refused(_) if placement.targets.len() == 1 => {
            ReportKind::Ended(Outcome::TargetRefused)
        }
        _ => ReportKind::Abandoned {
            target_failed: matches!(e, EngineError::Unreachable(_)),
        },
    }
}

/// An attempt that is listed as live. If it is dropped before [`Attempt::end`], it is reported as
/// abandoned.
struct Attempt<'a, N: Network> {
    traffic: &'a Traffic<N>,
    report: Option<Report>,
    _live: crate::control::LiveStreamGuard,
}

impl<'a, N: Network> Attempt<'a, N> {
    fn start(traffic: &'a Traffic<N>, pool: &PoolId, stream: StreamId) -> Self {
        Self {
            traffic,
            report: Some(Report {
                pool: pool.clone(),
                stream,
                kind: ReportKind::Abandoned {
                    target_failed: false,
                },
            }),
            _live: traffic.live_streams.register(stream, pool),
        }
    }

    /// Ends the attempt with the given report instead of that of an abandoned one; `None` sends
    /// none.
    fn end(mut self, kind: Option<ReportKind>) {
        let report = self.report.take();
        if let (Some(kind), Some(report)) = (kind, report) {
            self.traffic.reports.send(Report { kind, ..report });
        }
    }
}

impl<N: Network> Drop for Attempt<'_, N> {
    fn drop(&mut self) {
        if let Some(report) = self.report.take() {
            self.traffic.reports.send(report);
        }
    }
}
