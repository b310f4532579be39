//! Tests of reports to an owner that is replaced.

use std::time::Duration;

use super::test_fleet::TestFleet;

/// Time in which a report reaches an owner that answers.
const SOON: Duration = Duration::from_millis(50);

/// Longer than a node waits for an owner to take reports.
const LONG: Duration = Duration::from_millis(400);

/// Guards against engines that seem busy to a new owner since reports to the stopped one time out first, and against
/// waiting requests that are sent again because of it.
#[tokio::test(start_paused = true)]
async fn reports_go_to_the_new_owner_as_soon_as_it_is_known() {
    let mut fleet = TestFleet::open(&[3, 3, 3], 1);
    let placed = fleet.node(1).place().await.expect("no panic");
    let placed = placed.expect("placed");
    fleet.node(3).spawner.freeze();
    placed.on_first_event();
    tokio::time::sleep(SOON).await;
    for node in [1, 2] {
        fleet.set_owner(node, 2);
    }
    tokio::time::sleep(SOON).await;
    assert_eq!(fleet.node(2).running(), 1);
    drop(placed);
    tokio::time::sleep(SOON).await;
    assert_eq!(fleet.node(2).running(), 0);
    tokio::time::sleep(LONG).await;
    assert!(fleet.node(1).unresponsive_owners.try_recv().is_err());
}
