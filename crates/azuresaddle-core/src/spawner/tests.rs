use std::future::pending;
use std::time::Duration;

use tokio::time::timeout;

use super::Spawner;
use crate::task_failure::{TaskEnd, TaskFailure};

const WAIT: Duration = Duration::from_secs(1);

/// Guards against a process that goes on after one of its essential tasks has panicked.
#[tokio::test(start_paused = true)]
async fn a_panic_of_an_essential_task_is_reported() {
    let group = Spawner::current();
    group.spawn_essential("control", async { panic!("expected by the test") });
    let failure = timeout(WAIT, group.failure()).await;
    let end = TaskEnd::Panicked;
    assert_eq!(
        failure,
        Ok(TaskFailure {
            task: "control",
            end
        })
    );
}

/// Guards against an essential task that returns, or whose runtime ends, without notice.
#[test]
fn a_task_that_ends_without_a_panic_is_reported() {
    let runtime = || tokio::runtime::Builder::new_current_thread().build();
    let (first, second) = (runtime().unwrap(), runtime().unwrap());
    let group = Spawner::new(first.handle().clone());
    group.spawn_essential("reader", async {});
    assert_eq!(first.block_on(group.failure()).end, TaskEnd::Ended);

    let group = Spawner::new(first.handle().clone());
    group
        .on_runtime(second.handle().clone())
        .spawn_essential("control", pending());
    second.shutdown_background();
    assert_eq!(first.block_on(group.failure()).task, "control");
}

/// Guards against a failure that is reported because the process is stopped on purpose.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_killed_group_is_no_failure() {
    let group = Spawner::current();
    group.spawn_essential("control", pending());
    group.spawn(async { panic!("expected by the test") });
    tokio::task::yield_now().await;
    group.kill();
    assert!(timeout(WAIT, group.failure()).await.is_err());
}
