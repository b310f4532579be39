//! Tests of the use of a host.

use std::time::Duration;

use crate::control::host_capacity::HostCapacity;
use crate::control::host_counters::{
    HostCounters, cpu_time, link_bytes, max_descriptors, resident_bytes,
};
use crate::control::host_use::HostUse;

const CAPACITY: HostCapacity = HostCapacity {
    cpu_share: 0.12,
    memory_bytes: 160e6,
    link_bytes_per_s: 2.5e6,
};

const IDLE: HostCounters = HostCounters {
    cpu_time: Duration::ZERO,
    received_bytes: 0,
    sent_bytes: 0,
    resident_bytes: 16_000_000,
    descriptors: 41,
    max_descriptors: 4100,
};

fn largest(after: HostCounters) -> f64 {
    HostUse::between(&CAPACITY, &IDLE, &after, Duration::from_secs(2)).largest()
}

/// Guards against a resource whose exhaustion goes unnoticed.
#[test]
fn each_resource_can_determine_the_use() {
    let cases = [
        (0.1, IDLE),
        (
            0.5,
            HostCounters {
                cpu_time: Duration::from_millis(120),
                ..IDLE
            },
        ),
        (
            0.7,
            HostCounters {
                received_bytes: 3_500_000,
                ..IDLE
            },
        ),
        (
            0.8,
            HostCounters {
                sent_bytes: 4_000_000,
                ..IDLE
            },
        ),
        (
            0.9,
            HostCounters {
                resident_bytes: 144_000_000,
                ..IDLE
            },
        ),
        (
            0.6,
            HostCounters {
                descriptors: 2460,
                ..IDLE
            },
        ),
    ];
    for (expected, counters) in cases {
        let used = largest(counters);
        assert!((used - expected).abs() < 1e-9, "{counters:?}: {used}");
    }
}

/// Guards against fields that are taken for their neighbours.
#[test]
fn the_counters_are_read_from_the_texts_of_the_system() {
    let stat = "7 (a b) c) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 9 9 20 0 4 0 1 2 3";
    assert_eq!(cpu_time(stat), Some(Duration::from_secs(3)));
    let dev = "Inter-| Receive\n face |bytes\n    lo: 900 1 0 0 0 0 0 0 900 1 0 0 0 0 0 0\n\
               eth0: 100 2 0 0 0 0 0 0 30 4 0 0 0 0 0 0\n  eth1:7 2 0 0 0 0 0 0 5 4 0 0 0 0 0 0\n";
    assert_eq!(link_bytes(dev), (107, 35));
    let status = "Name:\tx\nVmHWM:\t  900 kB\nVmRSS:\t  100 kB\n";
    assert_eq!(resident_bytes(status), Some(102_400));
    let limits = "Limit  Soft  Hard  Units\nMax open files            4100      9000      files\n";
    assert_eq!(max_descriptors(limits), Some(4100));
    assert_eq!(
        max_descriptors("Max open files  unlimited  unlimited  files"),
        Some(u64::MAX)
    );
    assert_eq!(cpu_time("7 (a) S 1"), None);
    assert_eq!(resident_bytes(""), None);
}

/// Guards against a format of the system that the reader does not know.
#[test]
fn this_process_has_counters() {
    let counters = HostCounters::read().unwrap();
    assert!(counters.resident_bytes > 0);
    assert!(counters.descriptors > 0 && counters.descriptors < counters.max_descriptors);
}
