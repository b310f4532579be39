//! Restarts targets under the same name and address.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;

use super::StandInPlatform;
use crate::platform::plain::PlainHandler;
use crate::platform::target::{Target, TargetHandle, serve_target};

/// Maximum number of retries to bind the port of a stopped target.
const MAX_BINDS: u32 = 100;

/// Time between two starts that a restarted target reports, in milliseconds; only the order of starts matters.
const RESTART_MS: u64 = 1_000;

/// Pause between two attempts to bind the port.
const BIND_PAUSE: Duration = Duration::from_millis(10);

impl StandInPlatform {
    /// Kills an engine and restarts it under the same name and address, without streams or reservations.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound again.
    pub async fn restart_engine(&mut self, n: usize) -> std::io::Result<()> {
        let (listener, target) = self.respawn_target(&self.engines[n].clone()).await?;
        self.engine_models[n] = self.serve_engine(listener, &target);
        self.engines[n] = TargetHandle { target };
        Ok(())
    }

    /// Kills a target of the plain service and restarts it under the same name and address.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound again.
    pub async fn restart_plain(&mut self, n: usize) -> std::io::Result<()> {
        let (listener, target) = self.respawn_target(&self.plain[n].clone()).await?;
        serve_target(listener, Arc::clone(&target), Arc::new(PlainHandler));
        self.plain[n] = TargetHandle { target };
        Ok(())
    }

    /// Restarts every target that has crashed.
    ///
    /// # Errors
    /// Returns an error if a port can't be bound again.
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
                // The killed target releases its port with a short delay.
                Err(_) if tries < MAX_BINDS => tries += 1,
                Err(e) => return Err(e),
            }
            tokio::time::sleep(BIND_PAUSE).await;
        };
        let (id, service) = (old.id.clone(), old.service.clone());
        let target = self.target(id, service, old.addr, old.started_ms + RESTART_MS);
        self.register(&target, "ready");
        Ok((listener, target))
    }
}
