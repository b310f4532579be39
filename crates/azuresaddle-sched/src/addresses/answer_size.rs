//! Number of addresses in an answer.

use super::group::Group;
use super::score::unit_hash;
use super::select::MAX_ADDRESSES;

/// Part of the addresses that are in the caller's own failure domain, if all domains are equal.
///
/// Little over an even share among three: a caller whose domain has just ended must find a live address with its few
/// tries. At five eighths, 0.22 of these callers miss one in three tries, here 0.08.
const OWN_SHARE: f64 = 0.45;

/// Addresses are added to an answer in steps of this many, so that the size of answers rarely changes when nodes join
/// or leave.
const SIZE_STEP: usize = 8;

/// Maximum number of addresses in a group of nodes, as a multiple of the number of largest hosts that would have its
/// CPU shares. More addresses even out the shares of few callers, but a large host is in an answer only once: beyond
/// this number it would get less than half of its share.
const MAX_PER_LARGEST_HOST: f64 = 2.0;

/// Share of the weights, relative to an even share of its domain, up to which a failure domain gets less from its own
/// callers. Slightly smaller domains are treated as equal, so that the loss of a few nodes changes only the answers
/// that held them.
const SUFFICIENT_WEIGHT: f64 = 0.8;

/// Minimum number of addresses in other failure domains: a caller that tries three addresses reaches a live one even if
/// its own domain has one node, and two nodes elsewhere rarely fail together.
const MIN_OTHERS: usize = 2;

/// Value that stands for the rounding of sizes among the hashes of nodes; no node has this incarnation.
const ROUNDING: u64 = 0;

/// Number of addresses of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerSize {
    pub(super) own: usize,
    pub(super) others: usize,
}

impl AnswerSize {
    /// Returns the size of an answer for a caller whose domain has the nodes `own`, in a fleet of so many domains.
    pub(super) fn new(key: u64, own: &Group<'_>, others: &Group<'_>, domains: usize) -> Self {
        if own.len() == 0 {
            return Self {
                own: 0,
                others: size_for(others, 1.0),
            };
        }
        let share = own_share(own, others, domains);
        // A small domain limits the size, so that its callers still use it as much as its weight suffices for.
        let size = (size_for(own, OWN_SHARE) as f64).min(own.len() as f64 / share);
        // Each caller rounds up or down by its key, so that all answers together have the exact share.
        let rounding = unit_hash(key, ROUNDING);
        let own = (size * share + rounding) as usize;
        let others = (size * (1.0 - share) + 1.0 - rounding) as usize;
        let own = own.clamp(1, MAX_ADDRESSES - MIN_OTHERS);
        Self {
            own,
            others: others.max(MIN_OTHERS).min(MAX_ADDRESSES - own),
        }
    }
}

/// Returns the part of the requests of a domain's callers that its own nodes should get, for callers that are evenly
/// spread over the domains.
fn own_share(own: &Group<'_>, others: &Group<'_>, domains: usize) -> f64 {
    let weight_share = own.weight / (own.weight + others.weight);
    let relative_weight = weight_share * domains as f64;
    let sufficient = OWN_SHARE * (relative_weight / SUFFICIENT_WEIGHT).min(1.0);
    // A domain with most of the weight also gets most of the requests of its own callers.
    sufficient.max(weight_share)
}

/// Returns the largest size at which even the largest hosts of the group get enough callers, if the group has this
/// share of the addresses.
fn size_for(group: &Group<'_>, share: f64) -> usize {
    let most = group.largest_hosts() * MAX_PER_LARGEST_HOST;
    let steps = (most / share) as usize / SIZE_STEP;
    (steps * SIZE_STEP).clamp(SIZE_STEP, MAX_ADDRESSES)
}
