//! Targets that have gone, remembered for lists that are older than the word of it.

use super::flow::Target;
use roseproxy_decision::interface::ServerId;
use std::collections::{HashMap, VecDeque};

/// Targets that are remembered; the oldest is forgotten first.
const MAX_DEPARTED: usize = 8_192;

/// The latest targets that have gone, each with the start of its last process (ms).
#[derive(Debug, Default)]
pub(super) struct DepartedTargets {
    starts: HashMap<ServerId, Option<f64>>,
    by_age: VecDeque<ServerId>,
}

impl DepartedTargets {
    /// Remembers that a target has gone.
    pub fn insert(&mut self, target: &Target) {
        if self.starts.insert(target.id, target.started_at).is_some() {
            return;
        }
        self.by_age.push_back(target.id);
        if self.by_age.len() > MAX_DEPARTED {
            let oldest = self.by_age.pop_front();
            oldest.map(|oldest| self.starts.remove(&oldest));
        }
    }

    /// Whether this process of the target has gone.
    pub fn contains(&self, target: &Target) -> bool {
        self.starts.get(&target.id).is_some_and(|started_at| *started_at == target.started_at)
    }
}
