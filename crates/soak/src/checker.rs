//! Checks what the stand-ins observed against the invariants.

use crate::records::{Class, End, Record};
use crate::settings::Settings;
use crate::timeline::{EndpointEvent, SidecarEvent, Timeline};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Maximum time after the client left at which an attempt may still begin.
const DEPARTURE_TOLERANCE_MS: f64 = 100.0;
/// Maximum by which the timeout sent to an endpoint may exceed the client's remaining time.
const DEADLINE_TOLERANCE_MS: f64 = 150.0;
/// Tolerance of the protocol on every other time limit.
const TOLERANCE_MS: f64 = 50.0;
/// Time after which a change counts as known to all sidecars, counted while discovery is reachable.
const MAX_PROPAGATION_MS: f64 = 6_000.0;
/// Maximum time until the error or the close that answers malformed input.
const MALFORMED_RESPONSE_MS: f64 = 3_000.0;
/// Maximum time that a slow client spends on writing a request, so that it may have begun this long before its last
/// byte.
const MAX_WRITE_MS: f64 = 150.0;
/// Maximum time for a started sidecar to become ready.
const READY_LIMIT_MS: f64 = 10_000.0;

/// Rules of `docs/invariants.md`, by their names there. Reports print them by `Debug`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request gets one complete final response in time.
    Answer,
    /// No attempt begins after the client has left.
    Departure,
    /// No repeat that could do harm: attempts, executions and cells stay within what the class allows.
    Repeat,
    /// A refused request has had no effect.
    Refusal,
    /// The timeout sent to endpoints does not exceed the client's remaining time.
    Deadline,
    /// Endpoints that leave get no new work.
    Drain,
    /// Cold endpoints get no more calls than their budget.
    SlowStart,
    /// Every response belongs to its request.
    OwnAnswer,
    /// Sidecars do not crash, are ready and end in time, and answer malformed input by an error or a close.
    Limits,
    /// The sidecar's own consistency checks find nothing, and it holds nothing open when it is idle.
    OwnCheck,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Rule that was broken.
    pub rule: Rule,
    /// Time of the violation (ms since the Unix epoch).
    pub at: f64,
    /// Sidecar that broke the rule, if the rule concerns one.
    pub sidecar: Option<usize>,
    /// Request id, if the rule concerns a request.
    pub id: Option<String>,
    /// Description of what was observed.
    pub description: String,
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
        write!(f, ": {}", self.description)
    }
}

/// A request with its outcome and all its attempts.
struct RequestHistory<'a> {
    id: &'a str,
    sidecar: usize,
    class: Class,
    sent_at: f64,
    timeout_ms: f64,
    ended_at: f64,
    end: &'a End,
    attempts: Vec<Attempt>,
}

/// An attempt that an endpoint has read completely.
#[derive(Clone, Copy)]
struct Attempt {
    endpoint: usize,
    cell: u32,
    first_byte_at: f64,
    last_byte_at: f64,
    timeout_ms: f64,
    executed: bool,
    lag_ms: f64,
}

/// Totals over all sidecars.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests that ended.
    pub requests: usize,
    /// Numbers of requests that were served, refused and failed, in this order.
    pub answers: [usize; 3],
    /// Requests whose client left before the response.
    pub clients_left: usize,
    /// Attempts that endpoints have read completely.
    pub attempts: usize,
}

/// Checks a run; `slack_ms` is the measurement error to allow for.
pub fn check(
    records: &[Record],
    timeline: &Timeline,
    settings: &Settings,
    slack_ms: f64,
) -> (Totals, Vec<Violation>) {
    let mut attempts: HashMap<&str, Vec<Attempt>> = HashMap::new();
    for record in records {
        if let Record::Attempt {
            id,
            endpoint,
            cell,
            first_byte_at,
            last_byte_at,
            timeout_ms,
            executed,
            lag_ms,
            ..
        } = record
        {
            let (endpoint, cell, executed, lag_ms) = (*endpoint, *cell, *executed, *lag_ms);
            let (first_byte_at, last_byte_at, timeout_ms) = (*first_byte_at, *last_byte_at, *timeout_ms);
            attempts.entry(id).or_default().push(Attempt {
                endpoint,
                cell,
                first_byte_at,
                last_byte_at,
                timeout_ms,
                executed,
                lag_ms,
            });
        }
    }
    let notices = Notices::of(records, timeline);
    let mut checker = Checker { timeline, settings, slack_ms, violations: Vec::new(), notices };
    let mut totals = Totals { attempts: attempts.values().map(Vec::len).sum(), ..Totals::default() };
    for record in records {
        match record {
            Record::Request { id, sidecar, class, sent_at, timeout_ms, ended_at, end } => {
                let mut attempts = attempts.remove(id.as_str()).unwrap_or_default();
                attempts.sort_by(|a, b| a.last_byte_at.total_cmp(&b.last_byte_at));
                let (sidecar, class, sent_at, timeout_ms) = (*sidecar, *class, *sent_at, *timeout_ms);
                totals.count(end);
                checker.check_request(&RequestHistory {
                    id,
                    sidecar,
                    class,
                    sent_at,
                    timeout_ms,
                    ended_at: *ended_at,
                    end,
                    attempts,
                });
            }
            Record::MalformedInput { sidecar, at, response_ms, lag_ms } => {
                checker.check_malformed_input(*sidecar, *at, *response_ms, *lag_ms)
            }
            _ => {}
        }
    }
    checker.check_slow_starts(records);
    checker.check_processes();
    checker.check_counters();
    checker.violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    (totals, checker.violations)
}

impl Totals {
    fn count(&mut self, end: &End) {
        self.requests += 1;
        match end {
            End::Answered { status: 200, .. } => self.answers[0] += 1,
            End::Answered { status: 429 | 503, .. } => self.answers[1] += 1,
            End::Answered { .. } => self.answers[2] += 1,
            End::ClientLeft => self.clients_left += 1,
            _ => {}
        }
    }
}

/// Notices of endpoint states that discovery sent to the sidecars, and the times by which changes count as known.
struct Notices {
    /// Endpoint states sent, by sidecar and endpoint, in order of time: time, and whether the endpoint is in service.
    states_sent: HashMap<(usize, usize), Vec<(f64, bool)>>,
    /// Departures by endpoint, in order of time: time of the change, and when it counts as known to all sidecars.
    departures: HashMap<usize, Vec<(f64, f64)>>,
    /// Times at which an endpoint returned to service.
    returns: HashMap<usize, Vec<f64>>,
}

impl Notices {
    fn of(records: &[Record], timeline: &Timeline) -> Notices {
        let (mut states_sent, mut departures, mut returns) = (HashMap::new(), HashMap::new(), HashMap::new());
        for record in records {
            if let Record::NoticeSent { sidecar, endpoint, at, in_service } = record {
                let states: &mut Vec<_> = states_sent.entry((*sidecar, *endpoint)).or_default();
                states.push((*at, *in_service));
            }
        }
        for record in records {
            if let Record::NoticeLost { sidecar, endpoint, at } = record {
                let states = states_sent.entry((*sidecar, *endpoint)).or_default();
                // The sidecar may have acted on a lost notice of a return: its loss neither excuses nor forbids
                // anything.
                states.retain(|(sent_at, in_service)| sent_at != at || *in_service);
            }
        }
        states_sent.values_mut().for_each(|states| states.sort_by(|a, b| a.0.total_cmp(&b.0)));
        for (at, endpoint, event) in &timeline.endpoints {
            match event {
                EndpointEvent::Started => {}
                EndpointEvent::LeftService => {
                    let times: &mut Vec<_> = departures.entry(*endpoint).or_default();
                    times.push((*at, known_at(*at, timeline)));
                }
                EndpointEvent::ReturnedToService => {
                    let times: &mut Vec<_> = returns.entry(*endpoint).or_default();
                    times.push(*at);
                }
            }
        }
        Notices { states_sent, departures, returns }
    }

    /// Returns the time since which a sidecar has to know that an endpoint leaves, unless it has been notified of the
    /// endpoint's return by `by`.
    fn leaving_since(&self, sidecar: usize, endpoint: usize, by: f64) -> Option<f64> {
        let departure = self.departures.get(&endpoint)?.iter().rfind(|(at, _)| *at <= by);
        let (left_at, known_to_all_at) = departure.copied()?;
        let returned = self.returns.get(&endpoint).and_then(|all| all.iter().find(|at| **at > left_at));
        let states_sent = self.states_sent.get(&(sidecar, endpoint)).map_or(&[][..], Vec::as_slice);
        let first_notice = |from: f64, in_service: bool| {
            states_sent.iter().find(|(at, state)| *at >= from && *state == in_service).map(|(at, _)| *at)
        };
        if returned.and_then(|returned| first_notice(*returned, true)).is_some_and(|at| at <= by) {
            return None;
        }
        Some(first_notice(left_at, false).unwrap_or(f64::INFINITY).min(known_to_all_at))
    }
}

/// Returns when a change made at `at` counts as known. The count restarts when discovery becomes reachable again.
fn known_at(at: f64, timeline: &Timeline) -> f64 {
    let mut reachable_at = at;
    for (from, until) in &timeline.discovery_down {
        if reachable_at + MAX_PROPAGATION_MS > *from && *until > reachable_at {
            reachable_at = *until;
        }
    }
    reachable_at + MAX_PROPAGATION_MS
}

/// State of the check of one run.
struct Checker<'a> {
    timeline: &'a Timeline,
    settings: &'a Settings,
    slack_ms: f64,
    violations: Vec<Violation>,
    notices: Notices,
}

impl Checker<'_> {
    fn report_violation(&mut self, rule: Rule, at: f64, history: &RequestHistory, description: String) {
        let (sidecar, id) = (Some(history.sidecar), Some(history.id.to_owned()));
        self.violations.push(Violation { rule, at, sidecar, id, description });
    }

    fn check_request(&mut self, history: &RequestHistory) {
        self.check_answer(history);
        for attempt in &history.attempts {
            self.check_attempt(history, attempt);
        }
        self.check_repeats(history);
    }

    fn check_answer(&mut self, history: &RequestHistory) {
        let description = match history.end {
            End::Answered { matches_request: false, .. } => {
                return self.report_violation(
                    Rule::OwnAnswer,
                    history.ended_at,
                    history,
                    "served what was not made for it".into(),
                );
            }
            End::Answered { status: 429 | 503, .. } if history.class != Class::Safe => {
                if history.attempts.iter().any(|a| a.executed) {
                    self.report_violation(
                        Rule::Refusal,
                        history.ended_at,
                        history,
                        "refused after it had run".into(),
                    );
                }
                return;
            }
            // The client is responsible for repeating requests that a killed process held.
            _ if self.was_killed_between(history.sidecar, history.sent_at, history.ended_at) => return,
            End::TimedOut => format!("no answer within {:.0} ms and half a second", history.timeout_ms),
            End::ConnectionClosed { new_connection: true, .. } => {
                "closed with no answer, on a new connection".into()
            }
            End::ConnectionClosed { .. } => "closed in the middle of an answer, or again and again".into(),
            End::Unreachable if self.is_ready(history.sidecar, history.ended_at) => "no connection".into(),
            _ => return,
        };
        self.report_violation(Rule::Answer, history.ended_at, history, description);
    }

    /// Whether a sidecar's process was killed without SIGTERM in this period.
    fn was_killed_between(&self, sidecar: usize, from: f64, until: f64) -> bool {
        let killed = |(at, of, event): &(f64, usize, SidecarEvent)| {
            *of == sidecar
                && *event == SidecarEvent::KilledAbruptly
                && (from - MAX_WRITE_MS - self.slack_ms..=until).contains(at)
        };
        self.timeline.sidecars.iter().any(killed)
    }

    /// Whether a sidecar's process is ready to serve at this time, and has not been told to end.
    fn is_ready(&self, sidecar: usize, at: f64) -> bool {
        let mut events = self.timeline.sidecars.iter().filter(|(when, of, _)| *of == sidecar && *when <= at);
        events.next_back().is_some_and(|(.., event)| *event == SidecarEvent::Ready)
    }

    fn check_attempt(&mut self, history: &RequestHistory, attempt: &Attempt) {
        let left = match history.end {
            End::ClientLeft | End::TimedOut => history.ended_at,
            _ => f64::INFINITY,
        };
        if attempt.first_byte_at > left + DEPARTURE_TOLERANCE_MS + self.slack_ms + attempt.lag_ms {
            let description =
                format!("an attempt began {:.0} ms after the client left", attempt.first_byte_at - left);
            self.report_violation(Rule::Departure, attempt.first_byte_at, history, description);
        }
        let remaining_ms = history.sent_at + history.timeout_ms - attempt.last_byte_at;
        if attempt.timeout_ms > remaining_ms + DEADLINE_TOLERANCE_MS + self.slack_ms + attempt.lag_ms {
            let description =
                format!("told {:.0} ms where the client had {remaining_ms:.0}", attempt.timeout_ms);
            self.report_violation(Rule::Deadline, attempt.last_byte_at, history, description);
        }
        let notified_at =
            self.notices.leaving_since(history.sidecar, attempt.endpoint, attempt.first_byte_at);
        let Some(notified_at) = notified_at else { return };
        let latest_start =
            notified_at + self.settings.drain_grace + TOLERANCE_MS + self.slack_ms + attempt.lag_ms;
        if attempt.first_byte_at > latest_start {
            let description = format!(
                "endpoint {} was sent work {:.0} ms after word that it leaves",
                attempt.endpoint,
                attempt.first_byte_at - notified_at
            );
            self.report_violation(Rule::Drain, attempt.first_byte_at, history, description);
        }
    }

    fn check_repeats(&mut self, history: &RequestHistory) {
        let count = history.attempts.len();
        if count > self.settings.max_attempts {
            self.report_violation(Rule::Repeat, history.ended_at, history, format!("{count} attempts"));
        }
        let executed: Vec<&Attempt> = history.attempts.iter().filter(|a| a.executed).collect();
        let Some((first, others)) = executed.split_first() else { return };
        // The client itself repeats requests that a killed process held.
        if self.was_killed_between(history.sidecar, history.sent_at - history.timeout_ms, history.ended_at) {
            return;
        }
        for other in others {
            let after_ms = other.last_byte_at - first.last_byte_at;
            let late = after_ms > self.settings.window + TOLERANCE_MS + self.slack_ms + other.lag_ms;
            let description = match history.class {
                Class::Safe => continue,
                Class::Unsafe => format!("run again after {after_ms:.0} ms"),
                Class::Keyed if other.cell != first.cell => "run again in another cell".into(),
                Class::Keyed if late => format!("run again after {after_ms:.0} ms"),
                Class::Keyed => continue,
            };
            self.report_violation(Rule::Repeat, other.last_byte_at, history, description);
        }
    }

    fn check_malformed_input(&mut self, sidecar: usize, at: f64, response_ms: Option<f64>, lag_ms: f64) {
        if response_ms.is_none_or(|response_ms| response_ms > MALFORMED_RESPONSE_MS + self.slack_ms + lag_ms)
        {
            let description =
                format!("a misbehaving client got an error or a close after {response_ms:?} ms");
            let (rule, sidecar) = (Rule::Limits, Some(sidecar));
            self.violations.push(Violation { rule, at, sidecar, id: None, description });
        }
    }

    /// Checks the calls to each cold endpoint against its budget, over a sliding window of `Settings::overload_for`.
    fn check_slow_starts(&mut self, records: &[Record]) {
        let mut calls: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for record in records {
            if let Record::Attempt { endpoint, last_byte_at, .. } = record {
                calls.entry(*endpoint).or_default().push(*last_byte_at);
            }
        }
        let started = |event: &EndpointEvent| *event == EndpointEvent::Started;
        for (at, endpoint, _) in self.timeline.endpoints.iter().filter(|(.., event)| started(event)) {
            let Some(calls) = calls.get_mut(endpoint) else { continue };
            calls.sort_by(f64::total_cmp);
            if let Some(violation) = self.find_slow_start_violation(*at, *endpoint, calls) {
                self.violations.push(violation);
            }
        }
    }

    /// Returns the first violation of a cold endpoint's budget, if any; `calls` holds the sorted times of its calls.
    fn find_slow_start_violation(
        &self,
        started_at: f64,
        endpoint: usize,
        calls: &[f64],
    ) -> Option<Violation> {
        let settings = self.settings;
        let span_ms = settings.overload_for;
        let mut first = 0;
        for (last, at) in calls.iter().enumerate() {
            while calls[first] < at - span_ms {
                first += 1;
            }
            let warmth = settings.cold_from
                + (1.0 - settings.cold_from) * ((at - started_at) / settings.warm_up).clamp(0.0, 1.0);
            if warmth >= 1.0 {
                return None;
            }
            let budget = settings.fall_multiple * settings.capacity * warmth * span_ms / 1e3;
            let tolerance_calls =
                if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
            let count = last + 1 - first;
            if count as f64 > budget + tolerance_calls {
                let description = format!(
                    "endpoint {endpoint} was sent {count} calls in {span_ms:.0} ms, {:.1} s after its start; it bears {:.0}",
                    (at - started_at) / 1e3,
                    budget + tolerance_calls
                );
                return Some(Violation {
                    rule: Rule::SlowStart,
                    at: *at,
                    sidecar: None,
                    id: None,
                    description,
                });
            }
        }
        None
    }

    /// Time within this period for which discovery was unreachable (ms).
    fn discovery_downtime(&self, from: f64, until: f64) -> f64 {
        let overlap = |(down, back): &(f64, f64)| (back.min(until) - down.max(from)).max(0.0);
        self.timeline.discovery_down.iter().map(overlap).sum()
    }

    fn check_processes(&mut self) {
        let mut started: HashMap<usize, f64> = HashMap::new();
        for (at, sidecar, event) in &self.timeline.sidecars {
            let description = match event {
                SidecarEvent::Started => {
                    started.insert(*sidecar, *at);
                    continue;
                }
                SidecarEvent::Ready => {
                    let from = started.get(sidecar).copied().unwrap_or(*at);
                    let elapsed_ms = at - from;
                    // Without a saved list, a sidecar cannot serve before discovery is reachable.
                    let allowance_ms =
                        if self.settings.kept_lists { 0.0 } else { self.discovery_downtime(from, *at) };
                    if elapsed_ms <= READY_LIMIT_MS + allowance_ms + self.slack_ms {
                        continue;
                    }
                    format!("ready after {elapsed_ms:.0} ms")
                }
                SidecarEvent::Exited { expected: true, status } if status == "exit status: 0" => continue,
                SidecarEvent::Exited { status, .. } => format!("ended with {status}"),
                SidecarEvent::NotReadyInTime => "never ready".into(),
                SidecarEvent::KilledAfterTimeout => "did not end before it was killed".into(),
                SidecarEvent::SigtermSent | SidecarEvent::KilledAbruptly => continue,
            };
            let (rule, sidecar) = (Rule::Limits, Some(*sidecar));
            self.violations.push(Violation { rule, at: *at, sidecar, id: None, description });
        }
    }

    /// Checks that the sidecars' own checks found nothing, and that nothing is open once all clients have stopped.
    fn check_counters(&mut self) {
        let at = self.timeline.sidecars.last().map_or(0.0, |(at, ..)| *at);
        for (sidecar, name, value) in &self.timeline.counters {
            let own = name.starts_with("violations_");
            let open = ["flows_open", "forwards_open", "picture_forwards_open"].contains(&name.as_str());
            if (own || open) && *value > 0 {
                let description = format!("{name} {value}");
                let (rule, sidecar) = (Rule::OwnCheck, Some(*sidecar));
                self.violations.push(Violation { rule, at, sidecar, id: None, description });
            }
        }
    }
}
