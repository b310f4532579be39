//! Sizes of messages and stored values.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::{Rule, RulesDocument, TokenRange, When};
use azuresaddle_node::peer::{Heartbeat, HeartbeatReply};
use azuresaddle_sched::PoolDigest;
use azuresaddle_store::{LeaseId, OwnerRecord, RulesRecord};
use bytes::{Bytes, BytesMut};
use std::pin::Pin;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

/// Size of one message or value at one count of its parts.
#[derive(Clone, Debug)]
pub struct MessageSize {
    /// Name of the message or value.
    pub name: &'static str,
    /// Kind of the parts that are counted.
    pub part: &'static str,
    /// Number of parts.
    pub count: usize,
    /// Encoded size, in bytes.
    pub bytes: usize,
}

/// Measures the messages that grow with the system, at three counts each.
pub fn measure_messages() -> Vec<MessageSize> {
    let mut sizes = Vec::new();
    for count in [0, 20, 200] {
        sizes.push(size(
            "heartbeat",
            "live streams",
            count,
            encode(&heartbeat(count)),
        ));
    }
    for count in [0, 1, 4] {
        sizes.push(size(
            "heartbeat reply",
            "owned pools",
            count,
            encode(&reply(count)),
        ));
    }
    for count in [10, 100, 1000] {
        let json = serde_json::to_vec(&rules(count)).expect("a record serializes");
        sizes.push(size("rules in the store", "rules", count, json.into()));
    }
    let owner = serde_json::to_vec(&owner_record()).expect("a record serializes");
    sizes.push(size("owner record", "pools", 1, owner.into()));
    sizes
}

fn size(name: &'static str, part: &'static str, count: usize, bytes: Bytes) -> MessageSize {
    MessageSize {
        name,
        part,
        count,
        bytes: bytes.len(),
    }
}

/// The bytes that tarpc would send for a message's body.
fn encode<T: serde::Serialize + serde::de::DeserializeOwned + Unpin>(message: &T) -> Bytes {
    let mut format = Bincode::<T, T>::default();
    let encoded = Pin::new(&mut format).serialize(message);
    encoded.unwrap_or_else(|_| BytesMut::new().freeze())
}

fn heartbeat(streams: usize) -> Heartbeat {
    Heartbeat {
        node: HostName::new("entry-host-001"),
        rules: RulesVersion(1),
        store_reachable: true,
        streams: (0..streams as u128)
            .map(|n| StreamId::first(RequestId(n)))
            .collect(),
    }
}

fn pool(number: u16) -> PoolId {
    PoolId {
        model: Model::new("advice-large"),
        domain: FailureDomain::new("domain-1"),
        shard: number,
    }
}

fn reply(pools: usize) -> HeartbeatReply {
    let digest = |number| PoolDigest {
        pool: pool(number),
        usable_targets: 32,
        waiting: 10,
        running: 100,
        short_wait: Duration::ZERO,
        long_wait: Duration::from_secs(1),
        memory_tokens: 12_800_000,
        short_max_tokens: 8192,
    };
    HeartbeatReply {
        rules: RulesVersion(1),
        store_reachable: true,
        stopping: false,
        digests: (0..pools as u16).map(|n| (digest(n), Epoch(1))).collect(),
    }
}

fn rules(count: usize) -> RulesRecord {
    let rule = |n| Rule {
        name: format!("rule-{n}"),
        when: When {
            client_account: vec![ClientAccount::new(format!("account-{n}"))],
            model: vec![Model::new("advice-large")],
            prompt_tokens: Some(TokenRange {
                min: 0,
                max: Some(8192),
            }),
            ..When::default()
        },
        then: Default::default(),
    };
    RulesRecord {
        document: RulesDocument {
            rules: (0..count).map(rule).collect(),
            stops: Vec::new(),
        },
        ..RulesRecord::default()
    }
}

fn owner_record() -> OwnerRecord {
    OwnerRecord {
        pool: pool(0),
        owner: HostName::new("entry-host-001"),
        peer_addr: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 7001)),
        epoch: Epoch(17),
        lease: LeaseId(1234),
    }
}
