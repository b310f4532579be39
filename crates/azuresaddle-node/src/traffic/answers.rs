//! `GET /v1/answers/{id}?after=N`: continues an answer that another node began.

use std::sync::Arc;

use azuresaddle_core::http::Body;
use azuresaddle_core::prelude::*;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::headers::{CallerHeaders, HEADER_RESUME_TOKEN, header_text};
use super::problems;
use super::relay::{Progress, Relay, RelayError};
use super::reserve::Placement;
use super::respond::respond;
use super::resume_token::ResumeToken;
use super::router::query_value;
use super::sink::{CallerSink, caller_channel};
use super::state::Traffic;
use crate::engine::{EngineError, EngineStream};
use crate::peer::{PeerClient, ReportKind, TakeOver};

impl<N: Network> Traffic<N> {
    pub(super) async fn resume_answer(
        self: Arc<Self>,
        req: Request<Incoming>,
        id: &str,
    ) -> Result<Response<Body>, Problem> {
        let headers = CallerHeaders::parse(req.headers())?;
        let request: RequestId = id
            .parse()
            .map_err(|e| Problem::bad_request(format!("bad request id: {e}")))?;
        let after: u64 = match query_value(req.uri(), "after") {
            None => 0,
            Some(text) => text
                .parse()
                .map_err(|_| Problem::bad_request("after must be a number of tokens"))?,
        };
        let token = header_text(req.headers(), HEADER_RESUME_TOKEN)?
            .and_then(ResumeToken::decode)
            .filter(|token| token.stream.request == request)
            .ok_or_else(|| {
                let detail = format!("{HEADER_RESUME_TOKEN} is missing or not of this request");
                Problem::bad_request(detail)
            })?;
        if token.account != headers.account {
            let detail = "the answer belongs to another client account";
            return Err(Problem::not_run(StatusCode::FORBIDDEN, "not-yours", detail));
        }
        let placement = self.resumed_placement(&token)?;
        let opened = self.take_over(&placement, after).await?;
        let (sink, source) = caller_channel();
        let traffic = Arc::clone(&self);
        let account = token.account;
        self.spawner.spawn(async move {
            traffic
                .relay_resumed(account, placement, after, opened, sink)
                .await;
        });
        respond(source).await
    }

    fn resumed_placement(&self, token: &ResumeToken) -> Result<Placement, Problem> {
        let hosts = &self.snapshot.load().hosts;
        let engine = hosts
            .engines
            .get(&token.target)
            .ok_or_else(|| answer_lost("its target is gone"))?;
        Ok(Placement {
            pool: token.pool.clone(),
            stream: token.stream,
            targets: vec![(token.target.clone(), engine.addr)],
            memory_tokens: 0,
            epoch: token.epoch,
        })
    }

    /// Opens the stream at token `after`, displacing the node that read it before.
    async fn take_over(&self, placement: &Placement, after: u64) -> Result<EngineStream, Problem> {
        let own = &self.settings.name;
        self.report_take_over(placement);
        let (_, addr) = placement.targets[0];
        self.engines
            .resume(addr, placement.stream, after, own, true)
            .await
            .map_err(|e| match e {
                EngineError::UnknownStream => answer_lost("its target does not have it any more"),
                e => answer_lost(&e.to_string()),
            })
    }

    /// Reports to the pool's owner that this node now reads the stream, so that the owner does not
    /// cancel it when the previous node is found to have failed.
    fn report_take_over(&self, placement: &Placement) {
        let take_over = TakeOver {
            pool: placement.pool.clone(),
            stream: placement.stream,
            node: self.settings.name.clone(),
        };
        let owner = self.snapshot.load().owners.get(&placement.pool).cloned();
        let own = self.settings.name.clone();
        let control = self.control.clone();
        let peers = self.peers.clone();
        let timeout = self.settings.target_timeout;
        self.spawner.spawn(async move {
            match owner {
                Some(owner) if owner.owner != own => {
                    let call = async |client: PeerClient, cx| client.take_over(cx, take_over).await;
                    // If this message is lost, the next heartbeat claims the stream.
                    let _ = peers.call(owner.peer_addr, timeout, call).await;
                }
                _ => control.take_over(take_over).await,
            }
        });
    }

    async fn relay_resumed(
        &self,
        account: ClientAccount,
        placement: Placement,
        after: u64,
        opened: EngineStream,
        mut sink: CallerSink,
    ) {
        let _live = self
            .live_streams
            .register(placement.stream, &placement.pool);
        let mut progress = Progress {
            next_index: after,
            may_have_run: true,
            ..Progress::default()
        };
        let caller = sink.watch();
        let mut relay = Relay {
            traffic: self,
            account: &account,
            placement: &placement,
            sink: &mut sink,
            progress: &mut progress,
            is_start_sent: false,
        };
        let end = tokio::select! {
            end = relay.run(Some(opened)) => end,
            () = caller.closed() => Err(RelayError::CallerGone),
        };
        drop(caller);
        let target_failed = matches!(end, Err(RelayError::TargetFailed(_)));
        match end {
            Ok(()) => self.report(&placement, ReportKind::Ended(progress.completed())),
            Err(RelayError::Displaced) => {}
            Err(RelayError::CallerGone) => {
                self.report(&placement, ReportKind::Abandoned { target_failed });
            }
            Err(RelayError::TargetFailed(detail) | RelayError::TargetRefused(detail)) => {
                self.report(&placement, ReportKind::Abandoned { target_failed });
                sink.fail(problems::target_failed(&detail, Verdict::MayHaveRun))
                    .await;
            }
            Err(RelayError::Failed(problem)) => sink.fail(problem).await,
        }
    }
}

/// The problem for an answer that can't be resumed; the caller may send a new request.
fn answer_lost(why: &str) -> Problem {
    let detail = format!("the answer can't be resumed: {why}");
    Problem::not_run(StatusCode::GONE, "answer-lost", detail).verdict(Verdict::MayHaveRun)
}
