//! The list of config servers with its versions, and the order of what is announced to it.

use crate::fleet::Member;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It is in service.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It is gone: only among changes.
    Terminated,
}

impl Said {
    /// The word for it in the list.
    pub(super) fn word(self) -> &'static str {
        match self {
            Said::InService => "in_service",
            Said::Terminating => "terminating",
            Said::Terminated => "terminated",
        }
    }
}

/// One entry.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) server: usize,
    pub(super) said: Said,
    /// Unix time (ms) of its last start; 0 for long ago.
    pub(super) up_since: f64,
    pub(super) revision: u64,
}

/// The list with its versions.
#[derive(Debug)]
pub struct Registry {
    pub(super) entries: RefCell<BTreeMap<usize, Entry>>,
    pub(super) revision: watch::Sender<u64>,
    /// Announcements made so far for each server, and the last one that took effect.
    order: RefCell<BTreeMap<usize, (u64, u64)>>,
    /// Whether it runs, and how often it has moved.
    pub state: watch::Sender<(bool, usize)>,
}

impl Default for Registry {
    fn default() -> Self {
        Registry {
            entries: RefCell::default(),
            revision: watch::channel(1).0,
            order: RefCell::default(),
            state: watch::channel((true, 0)).0,
        }
    }
}

impl Registry {
    /// What the list says at the start.
    pub fn begin(&self, members: &[Rc<Member>]) {
        for member in members {
            let entry = Entry { server: member.number, said: Said::InService, up_since: 0.0, revision: 1 };
            self.entries.borrow_mut().insert(member.number, entry);
        }
    }

    /// An announcement is made; returns its number, which [`Registry::apply`] wants back.
    pub fn announce(&self, server: usize) -> u64 {
        let mut order = self.order.borrow_mut();
        let (made, _) = order.entry(server).or_default();
        *made += 1;
        *made
    }

    /// An announcement takes effect, unless a later one of that server already has.
    pub fn apply(&self, server: usize, number: u64, said: Said, up_since: f64) -> bool {
        {
            let mut order = self.order.borrow_mut();
            let (_, applied) = order.entry(server).or_default();
            if *applied >= number {
                return false;
            }
            *applied = number;
        }
        let revision = *self.revision.borrow() + 1;
        let up_since = if said == Said::InService {
            up_since
        } else {
            self.entries.borrow().get(&server).map_or(0.0, |e| e.up_since)
        };
        self.entries.borrow_mut().insert(server, Entry { server, said, up_since, revision });
        self.revision.send_replace(revision);
        true
    }
}
