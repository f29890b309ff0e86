//! What a list or a change of one costs: reading it, and taking it in, by the number of endpoints.
//!
//! Reader, host and module are driven directly and timed by the thread's processor clock, so that a
//! growth faster than in proportion can be traced to one of them.

use crate::cost::thread_micros;
use crate::decisions::{servers, settings};
use crate::error::{within, Error, Result};
use crate::fit::{exponent, median};
use crate::messages::{endpoint_address, entry, listing, Phase};
use crate::report::{Report, Table};
use roseproxy_decision::interface::{Event, Server, Update};
use roseproxy_decision::policy::Balancer;
use roseproxy_platform::discovery::{self, ListUpdate};
use roseproxy_routing::flow::Target;
use roseproxy_routing::Host;
use serde::Serialize;
use serde_json::Value;

/// Time between two lists, as the module sees it (µs).
const STEP: i64 = 1_000_000;
/// Port of the endpoints in these lists; nothing connects to them.
const PORT: u16 = 7_070;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Numbers of endpoints.
    pub endpoints: Vec<usize>,
    /// Times that each is measured; the middle one counts.
    pub runs: usize,
    /// Sidecars in the fleet.
    pub sidecars: usize,
}

/// Processor time (µs) of each step, middle of the runs, at one number of endpoints.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Steps {
    /// Endpoints of the list.
    pub endpoints: usize,
    /// Bytes of a whole list and of a change of one entry.
    pub bytes: (usize, usize),
    /// Reading a whole list from its text, and a change.
    pub read: (f64, f64),
    /// The module takes the first list that it gets.
    pub first: f64,
    /// The module takes a whole list that it has.
    pub again: f64,
    /// The module takes a whole list in the reverse order.
    pub reversed: f64,
    /// The module takes a whole list of other endpoints.
    pub replaced: f64,
    /// The module takes a change of one entry.
    pub change: f64,
    /// The host, module included, takes a whole list that it has, and a change.
    pub host: (f64, f64),
}

/// A whole list and a change of its last entry, as discovery words them.
pub fn texts(endpoints: usize) -> (String, String) {
    let whole: Vec<Value> =
        (0..endpoints).map(|n| entry(n, endpoint_address(n, PORT), Phase::InService)).collect();
    let last = endpoints.saturating_sub(1);
    let change = [entry(last, endpoint_address(last, PORT), Phase::Terminating)];
    (listing(1, true, &whole).to_string(), listing(2, false, &change).to_string())
}

/// Runs a step on a fresh state each time; the middle of its processor times (µs).
fn timed<S>(runs: usize, mut state: impl FnMut() -> S, mut step: impl FnMut(&mut S)) -> f64 {
    let mut times = Vec::with_capacity(runs);
    for _ in 0..runs {
        let mut state = state();
        let begun = thread_micros();
        step(&mut state);
        times.push(thread_micros() - begun);
    }
    median(&times).unwrap_or(f64::NAN)
}

fn take(balancer: &mut Balancer, now: i64, update: Update, list: &[Server]) {
    balancer.handle(now, Event::Servers { update, servers: list }, &mut Vec::new());
}

fn read(text: &str) -> Result<ListUpdate> {
    let wrong =
        |what| Error::Process { name: "reader".into(), what: format!("could not read a list: {what}") };
    discovery::read(text.as_bytes()).map_err(wrong)
}

/// Measures one number of endpoints.
pub fn steps(options: &Options, endpoints: usize) -> Result<Steps> {
    let runs = options.runs;
    let (whole, change) = texts(endpoints);
    let (all, one) = (read(&whole)?.targets, read(&change)?.targets);
    let list = servers(endpoints);
    let reversed: Vec<Server> = list.iter().rev().cloned().collect();
    let others: Vec<Server> = servers(2 * endpoints).split_off(endpoints);
    let empty = || Balancer::new(settings(options.sidecars, false), 7, 0);
    let filled = || {
        let mut balancer = empty();
        take(&mut balancer, 0, Update::Complete, &list);
        balancer
    };
    let host = || {
        let mut host = Host::new(settings(options.sidecars, false), 7, 0.0);
        host.update_targets(0.0, Update::Complete, &all);
        host
    };
    let hosted =
        |update, targets: &[Target]| timed(runs, host, |h| h.update_targets(1_000.0, update, targets));
    Ok(Steps {
        endpoints,
        bytes: (whole.len(), change.len()),
        read: (
            timed(runs, || (), |()| drop(std::hint::black_box(discovery::read(whole.as_bytes())))),
            timed(runs, || (), |()| drop(std::hint::black_box(discovery::read(change.as_bytes())))),
        ),
        first: timed(runs, empty, |b| take(b, STEP, Update::Complete, &list)),
        again: timed(runs, filled, |b| take(b, STEP, Update::Complete, &list)),
        reversed: timed(runs, filled, |b| take(b, STEP, Update::Complete, &reversed)),
        replaced: timed(runs, filled, |b| take(b, STEP, Update::Complete, &others)),
        change: timed(runs, filled, |b| take(b, STEP, Update::Changes, &list[endpoints - 1..])),
        host: (hosted(Update::Complete, &all), hosted(Update::Changes, &one)),
    })
}

/// Measures all numbers of endpoints.
pub fn measure(options: &Options) -> Result<Report> {
    within("runs", options.runs, 1, 1_000)?;
    options.endpoints.iter().try_for_each(|n| within("endpoints", *n, 1, 4_096).map(drop))?;
    let mut report = Report::begin("lists", options);
    let all: Vec<Steps> = options.endpoints.iter().map(|n| steps(options, *n)).collect::<Result<_>>()?;
    let mut table = Table::new(
        "Processor time of a list (µs, middle of the runs)",
        &[
            "endpoints",
            "bytes, list",
            "bytes, change",
            "read list",
            "read change",
            "module: first list",
            "same list again",
            "reversed",
            "all replaced",
            "one change",
            "host: same list",
            "host: one change",
        ],
    );
    for s in &all {
        let counts = [s.endpoints, s.bytes.0, s.bytes.1].map(|n| n.to_string());
        let times =
            [s.read.0, s.read.1, s.first, s.again, s.reversed, s.replaced, s.change, s.host.0, s.host.1];
        table.row(counts.into_iter().chain(times.map(|t| format!("{t:.1}"))));
    }
    report.tables.push(table);
    let power = |name: &str, figure: fn(&Steps) -> f64| {
        // The two largest: small lists are mostly fixed cost.
        let points: Vec<(f64, f64)> = all.iter().map(|s| (s.endpoints as f64, figure(s))).collect();
        let last = &points[points.len().saturating_sub(2)..];
        exponent(last).map(|power| format!("{name}: exponent {power:.2} over the two largest lists"))
    };
    let notes = [
        power("read list", |s| s.read.0),
        power("module: first list", |s| s.first),
        power("module: same list again", |s| s.again),
        power("module: reversed", |s| s.reversed),
        power("module: all replaced", |s| s.replaced),
        power("module: one change", |s| s.change),
        power("host: same list", |s| s.host.0),
        power("host: one change", |s| s.host.1),
    ];
    report.notes.extend(notes.into_iter().flatten());
    report.samples = serde_json::to_value(&all).unwrap_or_default();
    Ok(report.end())
}
