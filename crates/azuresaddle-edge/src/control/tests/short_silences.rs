//! Tests of the owner that the nodes of a small fleet follow while heartbeats are lost for a short time.

use std::time::Duration;

use super::fleet::Fleet;

/// Longer than the failure timeout of a small fleet.
const SILENCE: Duration = Duration::from_millis(500);

/// A fleet whose owner is node 1.
fn fleet(nodes: u16) -> Fleet {
    let mut fleet = Fleet::new(nodes);
    fleet.advance(Duration::from_secs(3));
    assert_eq!(owners(&fleet), vec![1; usize::from(nodes)]);
    fleet
}

/// Number of the owner of each node.
fn owners(fleet: &Fleet) -> Vec<u64> {
    let nodes = fleet.nodes.iter();
    nodes.map(|m| m.live_nodes(fleet.now).1 / 1000).collect()
}

/// Cuts the paths between nodes of the two groups.
fn cut(fleet: &mut Fleet, group: &[usize], others: &[usize]) {
    let pairs = group.iter().flat_map(|a| others.iter().map(|b| (*a, *b)));
    fleet.cuts = pairs.collect();
}

/// Guards against a second owner at a node that only misses the heartbeats of the first one.
#[tokio::test(start_paused = true)]
async fn a_node_that_hears_of_the_owner_from_others_keeps_it() {
    for nodes in 3..=12 {
        let mut fleet = fleet(nodes);
        cut(&mut fleet, &[1], &[usize::from(nodes)]);
        for _ in 0..100 {
            fleet.round();
            assert_eq!(owners(&fleet), vec![1; usize::from(nodes)]);
        }
    }
}

/// Guards against a node that stays its own owner, or becomes that of all, after it heard of nobody for a short time.
#[tokio::test(start_paused = true)]
async fn a_node_that_heard_of_nobody_returns_to_the_owner_at_once() {
    for nodes in 2..=12 {
        let mut fleet = fleet(nodes);
        let last = usize::from(nodes);
        let others: Vec<usize> = (1..last).collect();
        cut(&mut fleet, &[last], &others);
        fleet.advance(SILENCE);
        let mut expected = vec![1; last];
        expected[last - 1] = last as u64;
        assert_eq!(owners(&fleet), expected);
        fleet.cuts.clear();
        fleet.round();
        assert_eq!(owners(&fleet), vec![1; last]);
    }
}

/// Guards against nodes that follow different owners once they hear of an owner again that was silent for a short time.
#[tokio::test(start_paused = true)]
async fn nodes_agree_on_one_owner_as_soon_as_a_silent_one_is_heard_again() {
    for nodes in 3..=12 {
        let mut fleet = fleet(nodes);
        let last = usize::from(nodes);
        let others: Vec<usize> = (2..=last).collect();
        cut(&mut fleet, &[1], &others);
        fleet.advance(SILENCE);
        assert_eq!(owners(&fleet)[1..], vec![2; last - 1]);
        fleet.cuts.clear();
        fleet.round();
        assert_eq!(owners(&fleet), vec![2; last]);
    }
}
