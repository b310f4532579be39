//! Targets that start again under their name.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::StandInPlatform;
use crate::platform::plain::PlainHandler;
use crate::platform::target::{Target, TargetFault, TargetHandle, serve_target};

/// Most tries to bind the port of an ended target.
const MAX_BINDS: u32 = 100;

/// Pause between them.
const BIND_PAUSE: Duration = Duration::from_millis(10);

impl StandInPlatform {
    /// Ends an engine and starts it again under its name and address; it holds nothing then.
    ///
    /// # Errors
    /// Where the port can't be bound again.
    pub async fn restart_engine(&mut self, n: usize) -> std::io::Result<()> {
        let (listener, target) = self.respawn_target(&self.engines[n].clone()).await?;
        self.models[n] = self.serve_engine(listener, &target);
        self.engines[n] = TargetHandle { target };
        Ok(())
    }

    /// Ends a plain target and starts it again under its name and address.
    ///
    /// # Errors
    /// Where the port can't be bound again.
    pub async fn restart_plain(&mut self, n: usize) -> std::io::Result<()> {
        let (listener, target) = self.respawn_target(&self.plain[n].clone()).await?;
        serve_target(listener, Arc::clone(&target), Arc::new(PlainHandler));
        self.plain[n] = TargetHandle { target };
        Ok(())
    }

    /// Starts again every target that has ended by itself.
    ///
    /// # Errors
    /// Where a port can't be bound again.
    pub async fn restart_ended(&mut self) -> std::io::Result<()> {
        for n in 0..self.engines.len() {
            if self.engines[n].has_ended() {
                self.restart_engine(n).await?;
            }
        }
        for n in 0..self.plain.len() {
            if self.plain[n].has_ended() {
                self.restart_plain(n).await?;
            }
        }
        Ok(())
    }

    async fn respawn_target(
        &mut self,
        handle: &TargetHandle,
    ) -> std::io::Result<(TcpListener, Arc<Target>)> {
        let old = &handle.target;
        handle.kill();
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(old.addr).await {
                Ok(listener) => break listener,
                // The ended start lets go of its port a moment later.
                Err(_) if tries < MAX_BINDS => tries += 1,
                Err(e) => return Err(e),
            }
            tokio::time::sleep(BIND_PAUSE).await;
        };
        let target = Arc::new(Target {
            id: old.id.clone(),
            service: old.service.clone(),
            addr: old.addr,
            started_ms: old.started_ms + 1_000,
            entries_written: AtomicU64::new(0),
            runs: self.runs.clone(),
            crashing_requests: self.crashing_requests.clone(),
            fault: Mutex::new(TargetFault::None),
            signals: Mutex::default(),
            arrivals: Mutex::default(),
            accept_stopped: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        self.register(&target, "ready");
        Ok((listener, target))
    }
}
