//! The ids of the requests in hand, and of some that have ended: a target takes a request with the id of another one
//! for its retry, so no two may be sent on under one id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// Ids of ended requests that are remembered. The oldest is forgotten first.
const MAX_RETIRED_IDS: usize = 16_384;

/// The ids that no further request may use. Clones share them.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    /// Ids of requests whose heads have arrived and that have no answer yet.
    open: HashSet<HeaderValue>,
    retired: RetiredIds,
}

/// The id of one request, which no other request can use. It is free again when the claim is dropped, unless it was
/// retired.
pub struct RequestIdClaim {
    ids: RequestIds,
    id: HeaderValue,
    retired: bool,
}

impl RequestIds {
    /// Claims the id of a request; `None` if another request with it is open, or may have run without an answer that
    /// says so.
    pub fn claim(&self, id: &HeaderValue) -> Option<RequestIdClaim> {
        let mut state = self.0.borrow_mut();
        if state.retired.contains(id) || !state.open.insert(id.clone()) {
            return None;
        }
        Some(RequestIdClaim { ids: self.clone(), id: id.clone(), retired: false })
    }
}

impl RequestIdClaim {
    /// Keeps the id from being used again: its request may have run, or may still run.
    pub fn retire(mut self) {
        self.retired = true;
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        let mut state = self.ids.0.borrow_mut();
        state.open.remove(&self.id);
        if self.retired {
            state.retired.insert(&self.id);
        }
    }
}

/// A bounded set of ids, as hashes under a random key, so that no client can choose an id that collides with another.
#[derive(Default)]
struct RetiredIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// The same, oldest first.
    by_age: VecDeque<u64>,
}

impl RetiredIds {
    fn contains(&self, id: &HeaderValue) -> bool {
        !self.hashes.is_empty() && self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn insert(&mut self, id: &HeaderValue) {
        let hash = self.hasher.hash_one(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.by_age.push_back(hash);
        if self.by_age.len() > MAX_RETIRED_IDS {
            let oldest = self.by_age.pop_front();
            oldest.map(|oldest| self.hashes.remove(&oldest));
        }
    }
}
