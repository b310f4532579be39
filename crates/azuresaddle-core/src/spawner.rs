//! Group of all tasks of one process.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use crate::task_failure::{TaskEnd, TaskFailure};

/// Spawns the tasks of one process and can stop all of them at once.
///
/// All tasks of a process are spawned here, so that a test that runs several processes in one
/// runtime can kill or freeze one of them.
#[derive(Clone)]
pub struct Spawner {
    inner: Arc<Inner>,
    handle: Handle,
}

struct Inner {
    killed: CancellationToken,
    frozen: AtomicBool,
    /// Wakers of the tasks that were polled while the group was frozen.
    parked: Mutex<Vec<Waker>>,
    /// The first failure of an essential task.
    failure: watch::Sender<Option<TaskFailure>>,
}

impl Spawner {
    /// Creates a task group on the given runtime.
    pub fn new(handle: Handle) -> Self {
        Self {
            inner: Arc::new(Inner {
                killed: CancellationToken::new(),
                frozen: AtomicBool::new(false),
                parked: Mutex::new(Vec::new()),
                failure: watch::Sender::new(None),
            }),
            handle,
        }
    }

    /// Creates a task group on the current runtime.
    ///
    /// # Panics
    /// Panics if called outside a runtime.
    pub fn current() -> Self {
        Self::new(Handle::current())
    }

    /// Returns the same task group with new tasks spawned on another runtime.
    pub fn on_runtime(&self, handle: Handle) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
            handle,
        }
    }

    /// Spawns a task that ends when the group is killed.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn_abortable(future);
    }

    /// Spawns a task that the process can't do without. Its end is a failure, which [`Self::failure`] returns, unless the
    /// group is killed.
    ///
    /// The runtime catches a panic of a task; without this the process would go on with a part of it gone.
    pub fn spawn_essential<F>(&self, task: &'static str, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let guard = EssentialTask {
            group: self.clone(),
            task,
        };
        self.spawn(async move {
            let _guard = guard;
            future.await;
        });
    }

    /// Reports the failure of an essential task. Only the first one counts.
    pub fn report_failure(&self, failure: TaskFailure) {
        self.inner.failure.send_if_modified(|known| {
            let is_first = known.is_none();
            known.get_or_insert(failure);
            is_first
        });
    }

    /// Waits until an essential task has failed.
    pub async fn failure(&self) -> TaskFailure {
        let mut failure = self.inner.failure.subscribe();
        loop {
            if let Some(failure) = *failure.borrow_and_update() {
                return failure;
            }
            if failure.changed().await.is_err() {
                // `self` holds the sender, so the channel is open.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Spawns a task that ends when the group is killed or the returned handle is aborted.
    pub fn spawn_abortable<F>(&self, future: F) -> AbortHandle
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let killed = self.inner.killed.clone();
        let task = FreezableTask {
            inner: Arc::clone(&self.inner),
            future: Box::pin(future),
        };
        let join_handle = self.handle.spawn(async move {
            tokio::select! {
                biased;
                () = killed.cancelled() => {}
                () = task => {}
            }
        });
        join_handle.abort_handle()
    }

    /// Drops every task of the group, like `kill -9`.
    pub fn kill(&self) {
        self.inner.killed.cancel();
    }

    /// Suspends every task of the group, like `SIGSTOP`.
    pub fn freeze(&self) {
        self.inner.frozen.store(true, Ordering::SeqCst);
    }

    /// Resumes the tasks of a frozen group, like `SIGCONT`.
    pub fn thaw(&self) {
        self.inner.frozen.store(false, Ordering::SeqCst);
        let parked = std::mem::take(&mut *self.inner.lock_parked());
        for waker in parked {
            waker.wake();
        }
    }
}

impl Inner {
    fn lock_parked(&self) -> std::sync::MutexGuard<'_, Vec<Waker>> {
        self.parked
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Reports the end of an essential task when it is dropped with the task.
struct EssentialTask {
    group: Spawner,
    task: &'static str,
}

impl Drop for EssentialTask {
    fn drop(&mut self) {
        if self.group.inner.killed.is_cancelled() {
            return;
        }
        let end = if std::thread::panicking() {
            TaskEnd::Panicked
        } else {
            TaskEnd::Ended
        };
        self.group.report_failure(TaskFailure {
            task: self.task,
            end,
        });
    }
}

/// Wraps a task's future, which is not polled while its group is frozen.
struct FreezableTask<F> {
    inner: Arc<Inner>,
    future: Pin<Box<F>>,
}

impl<F: Future<Output = ()>> Future for FreezableTask<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.inner.frozen.load(Ordering::SeqCst) {
            self.inner.lock_parked().push(cx.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(cx)
    }
}

#[cfg(test)]
mod tests;
