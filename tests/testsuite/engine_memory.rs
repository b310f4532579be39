//! Memory that engines and the host list state.

use azuresaddle_core::bounded_tokens::MAX_TOKENS;
use azuresaddle_core::host_list::HostKind;
use azuresaddle_core::prelude::{RequestId, StreamId};
use azuresaddle_sched::LiveStream;

/// Guards against an owner that ends at the sum of what targets state.
#[test]
fn a_memory_of_any_size_can_be_summed() {
    let most = u64::MAX;
    let kind = format!(r#"{{"kind":"engine","model":"m","memory-tokens":{most}}}"#);
    let kind: HostKind = serde_json::from_str(&kind).unwrap();
    let HostKind::Engine { memory_tokens, .. } = kind else {
        panic!("{kind:?}");
    };
    assert_eq!(memory_tokens, MAX_TOKENS);
    let id = StreamId::first(RequestId(1));
    let stream = format!(
        r#"{{"stream":"{id}","node":"n","account":"a","memory-tokens":{most},"decoding":true}}"#
    );
    let stream: LiveStream = serde_json::from_str(&stream).unwrap();
    assert_eq!(stream.memory_tokens, MAX_TOKENS);
}
