//! The processor time of parsing and of applying a list or a change, by the number of endpoints.
//!
//! The parser, the host and the decision module are driven directly and timed by the thread's processor clock,
//! so that growth that is faster than linear can be attributed to one of them.

use crate::decisions::{module_settings, server_list};
use crate::error::{check_range, Error, Result};
use crate::fit::{median, power_law_exponent};
use crate::messages::{endpoint_address, list_entry, list_message, Phase};
use crate::report::{Report, Table};
use crate::usage::thread_cpu_us;
use roseproxy_decision::interface::{Event, Server, Update};
use roseproxy_decision::policy::Balancer;
use roseproxy_platform::discovery::{self, ListUpdate};
use roseproxy_routing::flow::Target;
use roseproxy_routing::Host;
use serde::Serialize;
use serde_json::Value;

/// Virtual time between two lists (µs).
const LIST_INTERVAL_US: i64 = 1_000_000;
/// Port of the endpoints in the lists; nothing connects to them.
const ENDPOINT_PORT: u16 = 7_070;

/// The arguments of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Numbers of endpoints.
    pub endpoints: Vec<usize>,
    /// Number of runs of each measurement; the median is reported.
    pub runs: usize,
    /// Number of sidecars in the fleet, as set in the settings.
    pub sidecars: usize,
}

/// Median processor times (µs) of the steps for one number of endpoints.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StepTimes {
    /// Number of endpoints in the list.
    pub endpoints: usize,
    /// Size in bytes of a whole list and of a change of one entry.
    pub bytes: (usize, usize),
    /// Parsing a whole list, and parsing a change.
    pub read: (f64, f64),
    /// The module applies its first list.
    pub first: f64,
    /// The module applies a whole list equal to the one it has.
    pub again: f64,
    /// The module applies the same whole list in reverse order.
    pub reversed: f64,
    /// The module applies a whole list of entirely different endpoints.
    pub replaced: f64,
    /// The module applies a change of one entry.
    pub change: f64,
    /// The host, module included, applies a whole list equal to the one it has, and a change of one entry.
    pub host: (f64, f64),
}

/// Builds a whole list and a change of its last entry, in discovery's form.
pub fn list_and_change(endpoints: usize) -> (String, String) {
    let whole: Vec<Value> =
        (0..endpoints).map(|n| list_entry(n, endpoint_address(n, ENDPOINT_PORT), Phase::InService)).collect();
    let last = endpoints.saturating_sub(1);
    let change = [list_entry(last, endpoint_address(last, ENDPOINT_PORT), Phase::Terminating)];
    (list_message(1, true, &whole).to_string(), list_message(2, false, &change).to_string())
}

/// Runs a step `runs` times, each on a new state, and returns the median processor time (µs).
fn median_time_us<S>(runs: usize, mut new_state: impl FnMut() -> S, mut step: impl FnMut(&mut S)) -> f64 {
    let mut times = Vec::with_capacity(runs);
    for _ in 0..runs {
        let mut state = new_state();
        let started = thread_cpu_us();
        step(&mut state);
        times.push(thread_cpu_us() - started);
    }
    median(&times).unwrap_or(f64::NAN)
}

fn apply_list(balancer: &mut Balancer, now: i64, update: Update, list: &[Server]) {
    balancer.handle(now, Event::Servers { update, servers: list }, &mut Vec::new());
}

fn parse(text: &str) -> Result<ListUpdate> {
    let parse_error = |reason| Error::Process {
        name: "reader".into(),
        problem: format!("could not read a list: {reason}"),
    };
    discovery::read(text.as_bytes()).map_err(parse_error)
}

/// Measures all steps for one number of endpoints.
pub fn measure_steps(options: &Options, endpoints: usize) -> Result<StepTimes> {
    let runs = options.runs;
    let (whole, change) = list_and_change(endpoints);
    let (all_targets, changed_target) = (parse(&whole)?.targets, parse(&change)?.targets);
    let list = server_list(endpoints);
    let reversed: Vec<Server> = list.iter().rev().cloned().collect();
    let others: Vec<Server> = server_list(2 * endpoints).split_off(endpoints);
    let empty = || Balancer::new(module_settings(options.sidecars, false), 7, 0);
    let filled = || {
        let mut balancer = empty();
        apply_list(&mut balancer, 0, Update::Complete, &list);
        balancer
    };
    let host = || {
        let mut host = Host::new(module_settings(options.sidecars, false), 7, 0.0);
        host.update_targets(0.0, Update::Complete, &all_targets);
        host
    };
    let host_time = |update, targets: &[Target]| {
        median_time_us(runs, host, |host| host.update_targets(1_000.0, update, targets))
    };
    Ok(StepTimes {
        endpoints,
        bytes: (whole.len(), change.len()),
        read: (
            median_time_us(runs, || (), |()| drop(std::hint::black_box(discovery::read(whole.as_bytes())))),
            median_time_us(runs, || (), |()| drop(std::hint::black_box(discovery::read(change.as_bytes())))),
        ),
        first: median_time_us(runs, empty, |b| apply_list(b, LIST_INTERVAL_US, Update::Complete, &list)),
        again: median_time_us(runs, filled, |b| apply_list(b, LIST_INTERVAL_US, Update::Complete, &list)),
        reversed: median_time_us(runs, filled, |b| {
            apply_list(b, LIST_INTERVAL_US, Update::Complete, &reversed)
        }),
        replaced: median_time_us(runs, filled, |b| {
            apply_list(b, LIST_INTERVAL_US, Update::Complete, &others)
        }),
        change: median_time_us(runs, filled, |b| {
            apply_list(b, LIST_INTERVAL_US, Update::Changes, &list[endpoints - 1..])
        }),
        host: (host_time(Update::Complete, &all_targets), host_time(Update::Changes, &changed_target)),
    })
}

/// Measures all numbers of endpoints and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("runs", options.runs, 1, 1_000)?;
    options.endpoints.iter().try_for_each(|n| check_range("endpoints", *n, 1, 4_096).map(drop))?;
    let mut report = Report::start("lists", options);
    let all: Vec<StepTimes> =
        options.endpoints.iter().map(|n| measure_steps(options, *n)).collect::<Result<_>>()?;
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
        table.add_row(counts.into_iter().chain(times.map(|t| format!("{t:.1}"))));
    }
    report.tables.push(table);
    let growth_note = |name: &str, figure: fn(&StepTimes) -> f64| {
        // Only the two largest lists: the cost of small lists is mostly fixed.
        let points: Vec<(f64, f64)> = all.iter().map(|s| (s.endpoints as f64, figure(s))).collect();
        let last = &points[points.len().saturating_sub(2)..];
        power_law_exponent(last)
            .map(|power| format!("{name}: exponent {power:.2} over the two largest lists"))
    };
    let notes = [
        growth_note("read list", |s| s.read.0),
        growth_note("module: first list", |s| s.first),
        growth_note("module: same list again", |s| s.again),
        growth_note("module: reversed", |s| s.reversed),
        growth_note("module: all replaced", |s| s.replaced),
        growth_note("module: one change", |s| s.change),
        growth_note("host: same list", |s| s.host.0),
        growth_note("host: one change", |s| s.host.1),
    ];
    report.notes.extend(notes.into_iter().flatten());
    report.samples = serde_json::to_value(&all).unwrap_or_default();
    Ok(report.finish())
}
