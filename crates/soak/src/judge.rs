//! The judge: holds what the stand-ins saw against the invariants.

use crate::records::{Class, End, Record};
use crate::settings::Settings;
use crate::timeline::{EndpointEvent, SidecarEvent, Timeline};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// How long after the client left an attempt may still begin (ms).
const DEPARTURE: f64 = 100.0;
/// What the time told to an endpoint may exceed the client's by (ms).
const DEADLINE: f64 = 150.0;
/// The tolerance of the protocol on every other time limit (ms).
const TOLERANCE: f64 = 50.0;
/// A change counts as told this long after discovery had it and could be reached (ms).
const TOLD_WITHIN: f64 = 6_000.0;
/// What misbehaving clients wait for an error or a close at most (ms).
const OWED: f64 = 3_000.0;
/// How long before its last byte a slow client has begun to write a request (ms).
const WRITING: f64 = 150.0;
/// By when a started sidecar has to be ready (ms).
const READY: f64 = 10_000.0;

/// The rules, by the names of `docs/invariants.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One whole final answer in time.
    Answer,
    /// No attempt after the client left.
    Departure,
    /// No harmful repeat.
    Repeat,
    /// A refusal promises that nothing took effect.
    Refusal,
    /// The time told to endpoints.
    Deadline,
    /// Nothing new for leaving endpoints.
    Drain,
    /// The budget of cold endpoints.
    SlowStart,
    /// The answer made for this request.
    OwnAnswer,
    /// No crash, ready in time, errors for misbehaving clients.
    Limits,
    /// The sidecar's own checks.
    OwnCheck,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When (ms).
    pub at: f64,
    /// By whom.
    pub sidecar: Option<usize>,
    /// The client's id of the request.
    pub id: Option<String>,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0}", self.rule, self.at)?;
        if let Some(sidecar) = self.sidecar {
            write!(f, " by sidecar {sidecar}")?;
        }
        if let Some(id) = &self.id {
            write!(f, " request {id}")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// A client's request with its attempts.
struct Story<'a> {
    id: &'a str,
    sidecar: usize,
    class: Class,
    sent: f64,
    timeout: f64,
    ended: f64,
    end: &'a End,
    attempts: Vec<Attempt>,
}

/// An attempt that an endpoint has read whole.
#[derive(Clone, Copy)]
struct Attempt {
    endpoint: usize,
    cell: u32,
    began: f64,
    whole: f64,
    told: f64,
    ran: bool,
    lag: f64,
}

/// What all sidecars did, in numbers.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests that ended.
    pub requests: usize,
    /// Those served, refused and failed.
    pub answers: [usize; 3],
    /// Those whose client left first.
    pub left: usize,
    /// Attempts that endpoints have read whole.
    pub attempts: usize,
}

/// Judges a run; `slack` (ms) is what the measuring itself may be off by.
pub fn judge(
    records: &[Record],
    timeline: &Timeline,
    settings: &Settings,
    slack: f64,
) -> (Totals, Vec<Violation>) {
    let mut attempts: HashMap<&str, Vec<Attempt>> = HashMap::new();
    for record in records {
        if let Record::Attempt { id, endpoint, cell, began, whole, told, ran, lag, .. } = record {
            let (endpoint, cell, ran, lag) = (*endpoint, *cell, *ran, *lag);
            let (began, whole, told) = (*began, *whole, *told);
            attempts.entry(id).or_default().push(Attempt { endpoint, cell, began, whole, told, ran, lag });
        }
    }
    let notices = Notices::of(records, timeline);
    let mut judge = Judge { timeline, settings, slack, found: Vec::new(), notices };
    let mut totals = Totals { attempts: attempts.values().map(Vec::len).sum(), ..Totals::default() };
    for record in records {
        match record {
            Record::Request { id, sidecar, class, sent, timeout, at, end } => {
                let mut attempts = attempts.remove(id.as_str()).unwrap_or_default();
                attempts.sort_by(|a, b| a.whole.total_cmp(&b.whole));
                let (sidecar, class, sent, timeout) = (*sidecar, *class, *sent, *timeout);
                totals.count(end);
                judge.request(&Story { id, sidecar, class, sent, timeout, ended: *at, end, attempts });
            }
            Record::Misbehaved { sidecar, at, within, lag } => judge.misbehaved(*sidecar, *at, *within, *lag),
            _ => {}
        }
    }
    judge.slow_starts(records);
    judge.processes();
    judge.counters();
    judge.found.sort_by(|a, b| a.at.total_cmp(&b.at));
    (totals, judge.found)
}

impl Totals {
    fn count(&mut self, end: &End) {
        self.requests += 1;
        match end {
            End::Answered { status: 200, .. } => self.answers[0] += 1,
            End::Answered { status: 429 | 503, .. } => self.answers[1] += 1,
            End::Answered { .. } => self.answers[2] += 1,
            End::Left => self.left += 1,
            _ => {}
        }
    }
}

/// What discovery told each sidecar of each endpoint, and by when its changes count as told.
struct Notices {
    /// Whether an endpoint is in service, in order of time: by sidecar and endpoint.
    told: HashMap<(usize, usize), Vec<(f64, bool)>>,
    /// When an endpoint left, and when that counts as told to everyone: by endpoint, in order of time.
    leaves: HashMap<usize, Vec<(f64, f64)>>,
    /// When an endpoint was in service again.
    returns: HashMap<usize, Vec<f64>>,
}

impl Notices {
    fn of(records: &[Record], timeline: &Timeline) -> Notices {
        let (mut told, mut leaves, mut returns) = (HashMap::new(), HashMap::new(), HashMap::new());
        for record in records {
            if let Record::Told { sidecar, endpoint, at, in_service } = record {
                let of_endpoint: &mut Vec<_> = told.entry((*sidecar, *endpoint)).or_default();
                of_endpoint.push((*at, *in_service));
            }
        }
        for record in records {
            if let Record::Lost { sidecar, endpoint, at } = record {
                let of_endpoint = told.entry((*sidecar, *endpoint)).or_default();
                // Word of a return may have been acted on: that it may be lost excuses nothing and forbids nothing.
                of_endpoint.retain(|(told_at, in_service)| told_at != at || *in_service);
            }
        }
        told.values_mut().for_each(|notices| notices.sort_by(|a, b| a.0.total_cmp(&b.0)));
        for (at, endpoint, event) in &timeline.endpoints {
            match event {
                EndpointEvent::Started => {}
                EndpointEvent::Leaves => {
                    let of_endpoint: &mut Vec<_> = leaves.entry(*endpoint).or_default();
                    of_endpoint.push((*at, counts_as_told(*at, timeline)));
                }
                EndpointEvent::Returns => {
                    let of_endpoint: &mut Vec<_> = returns.entry(*endpoint).or_default();
                    of_endpoint.push(*at);
                }
            }
        }
        Notices { told, leaves, returns }
    }

    /// Since when a sidecar counts as told that an endpoint leaves, without word of its return by this time.
    fn leaving_since(&self, sidecar: usize, endpoint: usize, by: f64) -> Option<f64> {
        let left = self.leaves.get(&endpoint)?.iter().rfind(|(at, _)| *at <= by);
        let (left, counts) = left.copied()?;
        let returned = self.returns.get(&endpoint).and_then(|all| all.iter().find(|at| **at > left));
        let told = self.told.get(&(sidecar, endpoint)).map_or(&[][..], Vec::as_slice);
        let since = |from: f64, in_service: bool| {
            told.iter().find(|(at, is)| *at >= from && *is == in_service).map(|(at, _)| *at)
        };
        if returned.and_then(|returned| since(*returned, true)).is_some_and(|at| at <= by) {
            return None;
        }
        Some(since(left, false).unwrap_or(f64::INFINITY).min(counts))
    }
}

/// When a change of this time counts as told: counted anew from when discovery could be reached again.
fn counts_as_told(at: f64, timeline: &Timeline) -> f64 {
    let mut reached = at;
    for (from, until) in &timeline.discovery_down {
        if reached + TOLD_WITHIN > *from && *until > reached {
            reached = *until;
        }
    }
    reached + TOLD_WITHIN
}

struct Judge<'a> {
    timeline: &'a Timeline,
    settings: &'a Settings,
    slack: f64,
    found: Vec<Violation>,
    notices: Notices,
}

impl Judge<'_> {
    fn report(&mut self, rule: Rule, at: f64, story: &Story, what: String) {
        let (sidecar, id) = (Some(story.sidecar), Some(story.id.to_owned()));
        self.found.push(Violation { rule, at, sidecar, id, what });
    }

    fn request(&mut self, story: &Story) {
        self.answer(story);
        for attempt in &story.attempts {
            self.attempt(story, attempt);
        }
        self.repeats(story);
    }

    fn answer(&mut self, story: &Story) {
        let what = match story.end {
            End::Answered { own: false, .. } => {
                return self.report(
                    Rule::OwnAnswer,
                    story.ended,
                    story,
                    "served what was not made for it".into(),
                );
            }
            End::Answered { status: 429 | 503, .. } if story.class != Class::Safe => {
                if story.attempts.iter().any(|a| a.ran) {
                    self.report(Rule::Refusal, story.ended, story, "refused after it had run".into());
                }
                return;
            }
            // What a killed process held is the client's to repeat.
            _ if self.killed_between(story.sidecar, story.sent, story.ended) => return,
            End::Silence => format!("no answer within {:.0} ms and half a second", story.timeout),
            End::Cut { new_connection: true, .. } => "closed with no answer, on a new connection".into(),
            End::Cut { .. } => "closed in the middle of an answer, or again and again".into(),
            End::Unreachable if self.serves(story.sidecar, story.ended) => "no connection".into(),
            _ => return,
        };
        self.report(Rule::Answer, story.ended, story, what);
    }

    /// Whether a sidecar's process was killed without a word in this time.
    fn killed_between(&self, sidecar: usize, from: f64, until: f64) -> bool {
        let killed = |(at, of, event): &(f64, usize, SidecarEvent)| {
            *of == sidecar
                && *event == SidecarEvent::KilledOutright
                && (from - WRITING - self.slack..=until).contains(at)
        };
        self.timeline.sidecars.iter().any(killed)
    }

    /// Whether a sidecar's process serves, from its start to its end.
    fn serves(&self, sidecar: usize, at: f64) -> bool {
        let mut events = self.timeline.sidecars.iter().filter(|(when, of, _)| *of == sidecar && *when <= at);
        events.next_back().is_some_and(|(.., event)| *event == SidecarEvent::Ready)
    }

    fn attempt(&mut self, story: &Story, attempt: &Attempt) {
        let left = match story.end {
            End::Left | End::Silence => story.ended,
            _ => f64::INFINITY,
        };
        if attempt.began > left + DEPARTURE + self.slack + attempt.lag {
            let what = format!("an attempt began {:.0} ms after the client left", attempt.began - left);
            self.report(Rule::Departure, attempt.began, story, what);
        }
        let has = story.sent + story.timeout - attempt.whole;
        if attempt.told > has + DEADLINE + self.slack + attempt.lag {
            let what = format!("told {:.0} ms where the client had {has:.0}", attempt.told);
            self.report(Rule::Deadline, attempt.whole, story, what);
        }
        let leaving = self.notices.leaving_since(story.sidecar, attempt.endpoint, attempt.began);
        let Some(leaving) = leaving else { return };
        let latest = leaving + self.settings.drain_grace + TOLERANCE + self.slack + attempt.lag;
        if attempt.began > latest {
            let what = format!(
                "endpoint {} was sent work {:.0} ms after word that it leaves",
                attempt.endpoint,
                attempt.began - leaving
            );
            self.report(Rule::Drain, attempt.began, story, what);
        }
    }

    fn repeats(&mut self, story: &Story) {
        let count = story.attempts.len();
        if count > self.settings.max_attempts {
            self.report(Rule::Repeat, story.ended, story, format!("{count} attempts"));
        }
        let ran: Vec<&Attempt> = story.attempts.iter().filter(|a| a.ran).collect();
        let Some((first, others)) = ran.split_first() else { return };
        // The client itself sends again what a killed process held.
        if self.killed_between(story.sidecar, story.sent - story.timeout, story.ended) {
            return;
        }
        for other in others {
            let after = other.whole - first.whole;
            let late = after > self.settings.window + TOLERANCE + self.slack + other.lag;
            let what = match story.class {
                Class::Safe => continue,
                Class::Unsafe => format!("run again after {after:.0} ms"),
                Class::Keyed if other.cell != first.cell => "run again in another cell".into(),
                Class::Keyed if late => format!("run again after {after:.0} ms"),
                Class::Keyed => continue,
            };
            self.report(Rule::Repeat, other.whole, story, what);
        }
    }

    fn misbehaved(&mut self, sidecar: usize, at: f64, within: Option<f64>, lag: f64) {
        if within.is_none_or(|within| within > OWED + self.slack + lag) {
            let what = format!("a misbehaving client got an error or a close after {within:?} ms");
            let (rule, sidecar) = (Rule::Limits, Some(sidecar));
            self.found.push(Violation { rule, at, sidecar, id: None, what });
        }
    }

    /// Counts what each endpoint got in any span of the settings' length while it was cold.
    fn slow_starts(&mut self, records: &[Record]) {
        let mut calls: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for record in records {
            if let Record::Attempt { endpoint, whole, .. } = record {
                calls.entry(*endpoint).or_default().push(*whole);
            }
        }
        let started = |event: &EndpointEvent| *event == EndpointEvent::Started;
        for (at, endpoint, _) in self.timeline.endpoints.iter().filter(|(.., event)| started(event)) {
            let Some(calls) = calls.get_mut(endpoint) else { continue };
            calls.sort_by(f64::total_cmp);
            if let Some(violation) = self.slow_start(*at, *endpoint, calls) {
                self.found.push(violation);
            }
        }
    }

    fn slow_start(&self, started: f64, endpoint: usize, calls: &[f64]) -> Option<Violation> {
        let s = self.settings;
        let span = s.overload_for;
        let mut first = 0;
        for (last, at) in calls.iter().enumerate() {
            while calls[first] < at - span {
                first += 1;
            }
            let warmth = s.cold_from + (1.0 - s.cold_from) * ((at - started) / s.warm_up).clamp(0.0, 1.0);
            if warmth >= 1.0 {
                return None;
            }
            let budget = s.fall_multiple * s.capacity * warmth * span / 1e3;
            let slack = if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
            let count = last + 1 - first;
            if count as f64 > budget + slack {
                let what = format!(
                    "endpoint {endpoint} was sent {count} calls in {span:.0} ms, {:.1} s after its start; it bears {:.0}",
                    (at - started) / 1e3,
                    budget + slack
                );
                return Some(Violation { rule: Rule::SlowStart, at: *at, sidecar: None, id: None, what });
            }
        }
        None
    }

    /// How long discovery could not be reached from one time to another (ms).
    fn discovery_down(&self, from: f64, until: f64) -> f64 {
        let overlap = |(down, back): &(f64, f64)| (back.min(until) - down.max(from)).max(0.0);
        self.timeline.discovery_down.iter().map(overlap).sum()
    }

    fn processes(&mut self) {
        let mut started: HashMap<usize, f64> = HashMap::new();
        for (at, sidecar, event) in &self.timeline.sidecars {
            let what = match event {
                SidecarEvent::Started => {
                    started.insert(*sidecar, *at);
                    continue;
                }
                SidecarEvent::Ready => {
                    let from = started.get(sidecar).copied().unwrap_or(*at);
                    let took = at - from;
                    // Without any list nobody can be served before discovery can be reached.
                    let waits = if self.settings.kept_lists { 0.0 } else { self.discovery_down(from, *at) };
                    if took <= READY + waits + self.slack {
                        continue;
                    }
                    format!("ready after {took:.0} ms")
                }
                SidecarEvent::Exited { expected: true, status } if status == "exit status: 0" => continue,
                SidecarEvent::Exited { status, .. } => format!("ended with {status}"),
                SidecarEvent::NeverReady => "never ready".into(),
                SidecarEvent::Killed => "did not end before it was killed".into(),
                SidecarEvent::Terminated | SidecarEvent::KilledOutright => continue,
            };
            let (rule, sidecar) = (Rule::Limits, Some(*sidecar));
            self.found.push(Violation { rule, at: *at, sidecar, id: None, what });
        }
    }

    /// The sidecars' own checks, and what has to be nothing once all clients rest.
    fn counters(&mut self) {
        let at = self.timeline.sidecars.last().map_or(0.0, |(at, ..)| *at);
        for (sidecar, name, value) in &self.timeline.counters {
            let own = name.starts_with("violations_");
            let open = ["flows_open", "forwards_open", "picture_forwards_open"].contains(&name.as_str());
            if (own || open) && *value > 0 {
                let what = format!("{name} {value}");
                let (rule, sidecar) = (Rule::OwnCheck, Some(*sidecar));
                self.found.push(Violation { rule, at, sidecar, id: None, what });
            }
        }
    }
}
