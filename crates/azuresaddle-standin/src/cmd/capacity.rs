//! `capacity`: measures how the cost of the control plane grows with the system.

use anyhow::Result;
use azuresaddle_standin::capacity::{measure_idle, measure_memory, measure_messages};
use clap::Command;

use super::args::print_line;

/// Sizes of the measured systems, as numbers of nodes and engines.
const SIZES: [(usize, usize); 7] = [(3, 2), (6, 2), (12, 2), (24, 2), (3, 8), (3, 16), (3, 32)];

pub(crate) fn make_subcommand() -> Command {
    Command::new("capacity").about("Measures the slopes that docs/CAPACITY.md works with")
}

pub(crate) fn execute() -> Result<()> {
    // Memory comes first, as it must not reuse memory that other measurements have freed.
    print_line("resident memory of a pool's state, in bytes each");
    for cost in measure_memory()? {
        print_line(&format!(
            "{:<28} {:>7} {:>8.0}",
            cost.name, cost.count, cost.bytes_each
        ));
    }
    print_line("\nan idle system, for each node and second");
    print_line("nodes engines    bytes  watches  lease writes  reads  processor us");
    for (nodes, engines) in SIZES {
        let cost = measure_idle(nodes, engines)?;
        print_line(&format!(
            "{:>5} {:>7} {:>8.0} {:>8.2} {:>13.2} {:>6.2} {:>13.0}",
            cost.nodes,
            cost.engines,
            cost.bytes,
            cost.watches,
            cost.lease_writes,
            cost.reads,
            cost.cpu_us
        ));
    }
    print_line("\nmessages and stored values, in bytes");
    for size in measure_messages() {
        print_line(&format!(
            "{:<20} {:>5} {:<14} {:>8}",
            size.name, size.count, size.part, size.bytes
        ));
    }
    Ok(())
}
