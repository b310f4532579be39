//! The selection.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::answer_size::AnswerSize;
use super::caller::Caller;
use super::candidate::AddressCandidate;
use super::group::Group;

/// Maximum number of addresses in an answer.
pub const MAX_ADDRESSES: usize = 64;

/// Whether callers should get different answers: hosts differ in size, or one answer does not hold all nodes.
pub fn needs_selection(candidates: &[AddressCandidate]) -> bool {
    let mut shares = candidates.iter().map(|n| n.cpu_milli);
    let first = shares.next();
    candidates.len() > MAX_ADDRESSES || shares.any(|s| Some(s) != first)
}

/// Selects the addresses for a caller, those of its own failure domain first.
///
/// If its domain has no candidate, all addresses are in other domains.
pub fn select_addresses(candidates: &[AddressCandidate], caller: Caller) -> Vec<SocketAddr> {
    let mut own = Group::default();
    let mut others = Group::default();
    let mut domains = HashSet::new();
    for node in candidates {
        domains.insert(node.domain);
        if node.domain == caller.domain {
            own.add(node);
        } else {
            others.add(node);
        }
    }
    let size = AnswerSize::new(caller.key, &own, &others, domains.len());
    let own = own.choose(caller.key, size.own);
    let others = others.choose(caller.key, size.others);
    own.iter().chain(&others).map(|n| n.addr).collect()
}
