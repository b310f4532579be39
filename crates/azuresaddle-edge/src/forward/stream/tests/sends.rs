//! Tests of the counts of a stream's sends.

use azuresaddle_core::prelude::*;

use crate::forward::stream::sends::StreamSends;

/// Guards against a target that ran the request, got it again without running it, and no longer counts against the limit.
#[test]
fn a_target_that_ran_a_request_counts_after_it_could_not_get_it_again() {
    let [first, second, third] = ["t1", "t2", "t3"].map(HostName::new);
    let sends = StreamSends::default();
    assert!(sends.try_send(&first, 2));
    assert!(sends.try_send(&second, 2));
    // The first one went on; when it fell silent again, the second one accepted no connection.
    sends.cancel_others(&first);
    sends.on_not_run(&second);
    sends.exclude(second.clone());
    assert!(!sends.may_follow(2));
    assert!(!sends.try_send(&third, 2));
    let all = [first, second, third];
    assert_eq!(sends.excluded(all.iter(), 2), all);
}
