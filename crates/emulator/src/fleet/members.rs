//! All servers of a simulation by their number, including those that have gone.

use super::Member;
use crate::accounting::Regret;
use std::cell::RefCell;
use std::rc::Rc;

/// The servers of a simulation; one that has gone keeps its number.
#[derive(Default)]
pub struct Members(RefCell<Vec<Rc<Member>>>);

impl Members {
    /// Creates the list; each server's number is its index.
    pub fn new(members: Vec<Rc<Member>>) -> Members {
        Members(RefCell::new(members))
    }

    /// A server.
    pub fn get(&self, number: usize) -> Rc<Member> {
        self.0.borrow()[number].clone()
    }

    /// All servers, in the order of their numbers.
    pub fn all(&self) -> Vec<Rc<Member>> {
        self.0.borrow().clone()
    }

    /// How many there are, which is the number of the next one.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Adds a server, whose number must be the count before.
    pub fn push(&self, member: Rc<Member>) {
        self.0.borrow_mut().push(member);
    }

    /// Whether a server could have served a request that is rejected now: its work is in ms of a standard
    /// core, and `left` is the time left for it (ms).
    pub fn regret(&self, now: f64, work: f64, left: f64) -> Regret {
        let (mut best, mut regret) = (f64::INFINITY, Regret::Nobody);
        for member in self.0.borrow().iter().filter(|m| m.in_service()) {
            member.touch(now);
            let model = member.model.borrow();
            let forecast = model.forecast(work);
            if forecast < best {
                best = forecast;
                let idle = (model.held() as f64) < model.plan.cores;
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
