//! The ids of the requests in hand: a target takes a request with the id of another one for its retry, so no two may
//! be sent on under one id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids that no further request may use. Clones share them.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    /// Ids of requests whose heads have arrived and that have no answer yet.
    open: HashSet<HeaderValue>,
}

/// The id of one request, which no other request can use. It is free again when the claim is dropped.
pub struct RequestIdClaim {
    ids: RequestIds,
    id: HeaderValue,
}

impl RequestIds {
    /// Claims the id of a request; `None` if another request with it is open.
    pub fn claim(&self, id: &HeaderValue) -> Option<RequestIdClaim> {
        let mut state = self.0.borrow_mut();
        if !state.open.insert(id.clone()) {
            return None;
        }
        Some(RequestIdClaim { ids: self.clone(), id: id.clone() })
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        let mut state = self.ids.0.borrow_mut();
        state.open.remove(&self.id);
    }
}
