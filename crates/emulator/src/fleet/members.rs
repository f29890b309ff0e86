//! All servers of a simulation by number, including those that have gone.

use super::Member;
use crate::accounting::Regret;
use std::cell::RefCell;
use std::rc::Rc;

/// The servers of a simulation; a server that has gone keeps its number.
#[derive(Default)]
pub struct Members(RefCell<Vec<Rc<Member>>>);

impl Members {
    /// Creates the list; the number of each server must be its index.
    pub fn new(members: Vec<Rc<Member>>) -> Members {
        Members(RefCell::new(members))
    }

    /// The server with a number. Panics if there is none.
    pub fn get(&self, number: usize) -> Rc<Member> {
        self.0.borrow()[number].clone()
    }

    /// All servers in order of number.
    pub fn all(&self) -> Vec<Rc<Member>> {
        self.0.borrow().clone()
    }

    /// The number of servers, which is also the number of the next one added.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Adds a server, whose number must be [`Members::count`].
    pub fn push(&self, member: Rc<Member>) {
        self.0.borrow_mut().push(member);
    }

    /// Whether a server could have served a request that is rejected now. `work` is in ms of a standard core,
    /// and `left` is the remaining time (ms).
    pub fn regret(&self, now: f64, work: f64, left: f64) -> Regret {
        let (mut best, mut regret) = (f64::INFINITY, Regret::Nobody);
        for member in self.0.borrow().iter().filter(|m| m.in_service()) {
            member.advance(now);
            let model = member.model.borrow();
            let forecast = model.forecast(work);
            if forecast < best {
                best = forecast;
                let idle = (model.held() as f64) < model.parameters.cores;
                regret = match (forecast <= left, idle) {
                    (true, true) => Regret::CoreIdle,
                    (true, false) => Regret::WouldFit,
                    (false, _) => Regret::Full,
                };
            }
        }
        regret
    }
}
