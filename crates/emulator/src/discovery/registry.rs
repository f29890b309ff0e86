//! The registry of servers: entries with revisions, and the order in which announcements take effect.

use crate::fleet::Member;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// The status of a server in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    /// In service.
    InService,
    /// Draining: it finishes the requests that it holds.
    Terminating,
    /// Gone; appears only among the changes of a watch, never in a complete list.
    Terminated,
}

impl ListedStatus {
    /// Its name on the wire.
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            ListedStatus::InService => "in_service",
            ListedStatus::Terminating => "terminating",
            ListedStatus::Terminated => "terminated",
        }
    }
}

/// The entry of one server.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) server: usize,
    pub(super) status: ListedStatus,
    /// Unix time (ms) of the last start; 0 if the server was running before the simulation.
    pub(super) up_since: f64,
    /// The revision of the last change.
    pub(super) revision: u64,
}

/// The state of the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceState {
    /// Whether it accepts connections.
    pub runs: bool,
    /// The number of moves to another address so far.
    pub moves: usize,
}

/// The list of servers with its revisions.
#[derive(Debug)]
pub struct Registry {
    pub(super) entries: RefCell<BTreeMap<usize, Entry>>,
    pub(super) revision: watch::Sender<u64>,
    /// By server: the number of announcements so far and the number of the last one applied.
    announcements: RefCell<BTreeMap<usize, (u64, u64)>>,
    /// Whether the service runs, and at which address.
    pub state: watch::Sender<ServiceState>,
}

impl Default for Registry {
    fn default() -> Self {
        Registry {
            entries: RefCell::default(),
            revision: watch::channel(1).0,
            announcements: RefCell::default(),
            state: watch::channel(ServiceState { runs: true, moves: 0 }).0,
        }
    }
}

impl Registry {
    /// Lists the initial servers as in service, at revision 1.
    pub fn list_initial(&self, members: &[Rc<Member>]) {
        for member in members {
            let entry =
                Entry { server: member.number, status: ListedStatus::InService, up_since: 0.0, revision: 1 };
            self.entries.borrow_mut().insert(member.number, entry);
        }
    }

    /// Registers an announcement of a server's status; returns its number, by which [`Registry::apply`] orders
    /// the announcements of a server.
    pub fn announce(&self, server: usize) -> u64 {
        let mut announcements = self.announcements.borrow_mut();
        let (announced, _) = announcements.entry(server).or_default();
        *announced += 1;
        *announced
    }

    /// Applies an announcement unless a later one of that server was applied before; returns whether it was
    /// applied.
    /// `up_since`, the Unix time (ms) of the server's start, is used only for [`ListedStatus::InService`].
    pub fn apply(&self, server: usize, number: u64, status: ListedStatus, up_since: f64) -> bool {
        {
            let mut announcements = self.announcements.borrow_mut();
            let (_, applied) = announcements.entry(server).or_default();
            if *applied >= number {
                return false;
            }
            *applied = number;
        }
        let revision = *self.revision.borrow() + 1;
        let up_since = if status == ListedStatus::InService {
            up_since
        } else {
            self.entries.borrow().get(&server).map_or(0.0, |e| e.up_since)
        };
        self.entries.borrow_mut().insert(server, Entry { server, status, up_since, revision });
        self.revision.send_replace(revision);
        true
    }
}
