//! What the fleet's observations say about each target, for one node.

use std::collections::HashMap;

use azuresaddle_core::prelude::*;
use tokio::time::Instant;

use super::reported::EjectedTarget;

/// Whether a node may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetVerdict {
    /// The target gets requests.
    InUse,
    /// The target gets no requests; it is probed at this time.
    Ejected {
        /// When it is probed next.
        until: Instant,
    },
    /// The target accepted a connection; only the prober sends to it.
    OnTrial {
        /// Incarnation of the prober.
        prober: u64,
    },
}

/// Verdicts on all targets, as they apply to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetVerdicts {
    pub(super) own: u64,
    /// Targets that are not in use.
    pub(super) verdicts: HashMap<HostName, TargetVerdict>,
    /// Targets that are ejected for any node, by name.
    pub(super) ejected: Vec<EjectedTarget>,
}

impl TargetVerdicts {
    /// The verdict on a target.
    pub fn get(&self, target: &HostName) -> TargetVerdict {
        let verdict = self.verdicts.get(target);
        verdict.copied().unwrap_or(TargetVerdict::InUse)
    }

    /// Whether this node may send to a target.
    pub fn accepts(&self, target: &HostName) -> bool {
        match self.get(target) {
            TargetVerdict::InUse => true,
            TargetVerdict::Ejected { .. } => false,
            TargetVerdict::OnTrial { prober } => prober == self.own,
        }
    }

    /// Targets that are ejected for any node, by name.
    pub fn ejected(&self) -> &[EjectedTarget] {
        &self.ejected
    }

    /// Number of targets that are not in use.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Whether all targets are in use.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Targets that are in use here but not in the later verdicts, or the reverse, and targets whose trial began or
    /// failed.
    pub(super) fn changes_to(&self, later: &Self) -> Vec<VerdictChange> {
        let all = self.verdicts.keys();
        let added = later.verdicts.keys();
        let added = added.filter(|id| !self.verdicts.contains_key(*id));
        let changes = all.chain(added).map(|id| VerdictChange {
            target: id.clone(),
            before: self.get(id),
            after: later.get(id),
        });
        changes.filter(VerdictChange::is_relevant).collect()
    }

    /// Targets that are in use in the later verdicts but not in these.
    pub fn returned_in<'a>(&'a self, later: &'a Self) -> impl Iterator<Item = &'a HostName> {
        let all = self.verdicts.keys();
        all.filter(|id| !later.verdicts.contains_key(*id))
    }
}

/// A change of the verdict on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerdictChange {
    /// The target.
    pub target: HostName,
    /// The verdict until now.
    pub before: TargetVerdict,
    /// The verdict from now on.
    pub after: TargetVerdict,
}

impl VerdictChange {
    /// Whether the kind of verdict changed, not only the time of the next probe.
    fn is_relevant(&self) -> bool {
        std::mem::discriminant(&self.before) != std::mem::discriminant(&self.after)
    }

    /// Whether the target is ejected after being in use.
    pub fn is_ejection(&self) -> bool {
        self.before == TargetVerdict::InUse && matches!(self.after, TargetVerdict::Ejected { .. })
    }
}
