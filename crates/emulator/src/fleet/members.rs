//! All servers that there have been, by their number.

use super::Member;
use crate::accounting::Regret;
use std::cell::RefCell;
use std::rc::Rc;

/// The servers; one that has gone keeps its number.
#[derive(Default)]
pub struct Members(RefCell<Vec<Rc<Member>>>);

impl Members {
    /// These servers, whose numbers are their places here.
    pub fn new(members: Vec<Rc<Member>>) -> Members {
        Members(RefCell::new(members))
    }

    /// A server.
    pub fn get(&self, number: usize) -> Rc<Member> {
        self.0.borrow()[number].clone()
    }

    /// All servers there have been.
    pub fn all(&self) -> Vec<Rc<Member>> {
        self.0.borrow().clone()
    }

    /// How many there have been: the number of the next.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// One more, whose number is the count before.
    pub fn push(&self, member: Rc<Member>) {
        self.0.borrow_mut().push(member);
    }

    /// What is known of a request of this work (ms of a standard core) that is refused now, with so much time
    /// left (ms).
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
