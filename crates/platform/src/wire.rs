//! The simulator's wire: text lines to [`Event`]s and [`Action`]s to text lines. No decisions here.

use roseproxy_decision::interface::*;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::str::{FromStr, SplitN};

/// Why a line could not be read.
pub type Reason = String;
type Parsed<T> = Result<T, Reason>;

/// One line of a batch.
#[derive(Debug)]
pub enum Line {
    /// A batch begins: clock and number.
    Tick(Micros, u64),
    /// The lines that follow are for this instance.
    At(String),
    /// An instance starts: seed, settings, and how to read its further lines.
    Start(u64, Box<Settings>, Dialect),
    /// The instance is killed.
    Kill,
    /// A numbered list of so many entries follows.
    Define(usize, usize),
    /// An entry of that list, with its name.
    Entry(Server, String),
    /// A list reaches the instance; `None` where a call failed.
    Servers(Update, Option<usize>),
    /// Anything else that happened to the instance.
    Event(Event<'static>),
    /// Something this library makes no use of.
    Unused,
    /// The batch is complete.
    Commit,
}

/// How an instance's lines are to be read: its class names and the order of its report values.
#[derive(Clone, Debug, Default)]
pub struct Dialect {
    classes: Vec<String>,
    tenants: Vec<String>,
    report: Vec<String>,
}

impl Dialect {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c == name)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }
}

/// How many lists can be numbered.
pub const LISTS: usize = 16;

/// A stable hash of a name (FNV-1a): the same in every process, whatever was met before.
pub fn tag(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

struct Fields<'a>(SplitN<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self, what: &str) -> Parsed<&'a str> {
        self.0.next().filter(|t| !t.is_empty()).ok_or_else(|| format!("{what} is missing"))
    }

    fn number<T: FromStr>(&mut self, what: &str) -> Parsed<T> {
        let text = self.text(what)?;
        text.parse().map_err(|_| format!("{what} is not a valid number: {text}"))
    }

    fn optional<T: FromStr>(&mut self, what: &str) -> Parsed<Option<T>> {
        match self.text(what)? {
            "-" => Ok(None),
            text => text.parse().map(Some).map_err(|_| format!("{what} is not a valid number: {text}")),
        }
    }

    fn flag(&mut self, what: &str) -> Parsed<bool> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(format!("{what} is neither 0 nor 1: {text}")),
        }
    }

    fn server(&mut self) -> Parsed<ServerId> {
        self.text("backend").map(|name| ServerId(tag(name)))
    }

    fn outcome(&mut self) -> Parsed<Outcome> {
        Ok(match self.text("status")? {
            "pass" => Outcome::Served,
            "fault" => Outcome::Error,
            "no_room" => Outcome::Rejected,
            "too_slow" => Outcome::TimedOut,
            "no_route" => Outcome::Unreachable,
            "cut" => Outcome::Broken,
            "undone" => Outcome::Cancelled,
            "stale_send" => Outcome::NotSent,
            text => return Err(format!("unknown status {text}")),
        })
    }

    fn load(&mut self, dialect: &Dialect) -> Parsed<Option<Load>> {
        let text = self.text("stats")?;
        if text == "-" {
            return Ok(None);
        }
        let mut load = Load::default();
        let mut values = text.split(',');
        for name in &dialect.report {
            let value = values.next().ok_or_else(|| format!("{name} is missing in stats"))?;
            if value == "-" {
                continue;
            }
            let value = value.parse().map_err(|_| format!("{name} is not a valid number: {value}"))?;
            match name.as_str() {
                "active" => load.in_flight = Some(value),
                "waiting" => load.waiting = Some(value),
                "cpu" => load.utilization = Some(value),
                "avg_ms" => load.latency_ms = Some(value),
                "rps" => load.requests_per_s = Some(value),
                "err_rps" => load.errors_per_s = Some(value),
                _ => {}
            }
        }
        Ok(Some(load))
    }
}

/// Reads one line. `dialect` is that of the instance it is for, where one is selected and started.
pub fn parse(line: &str, dialect: Option<&Dialect>) -> Parsed<Line> {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut f = Fields(rest.splitn(16, ' '));
    let started = || dialect.ok_or_else(|| format!("{word} for an instance that was never started"));
    let event = match word {
        "TICK" => return Ok(Line::Tick(f.number("clock")?, f.number("index")?)),
        "COMMIT" => return Ok(Line::Commit),
        "AT" => return Ok(Line::At(f.text("agent")?.to_owned())),
        "START" => {
            let (seed, json) = rest.split_once(' ').ok_or("profile_data is missing")?;
            let seed = seed.parse().map_err(|_| format!("rng_seed is not a valid number: {seed}"))?;
            let (settings, dialect) = parse_settings(json)?;
            return Ok(Line::Start(seed, Box::new(settings), dialect));
        }
        "KILL" => return Ok(Line::Kill),
        "DEFINE_LIST" => {
            let list = list_number(f.text("set_id")?)?;
            return Ok(Line::Define(list, f.number("records")?));
        }
        "ENTRY" => return entry(&mut f),
        "DISCOVERY" => {
            started()?;
            let list = f.text("set_id")?;
            let update = match f.text("how")? {
                "D" => Update::Changes,
                "F" | "C" => Update::Complete,
                "X" => return Ok(Line::Servers(Update::Failed, None)),
                how => return Err(format!("unknown kind of list {how}")),
            };
            let list = list_number(list)?;
            return Ok(Line::Servers(update, Some(list)));
        }
        "WORK_ITEM" => {
            let dialect = started()?;
            let id = f.number("rid")?;
            let bits: u64 = f.number("bitmap")?;
            let band = f.text("band")?;
            let class = dialect.classes.iter().position(|c| c == band);
            let class = class.ok_or_else(|| format!("unknown class {band}"))?;
            let hint: Option<Micros> = f.optional("work_hint")?;
            let key = f.text("affinity")?;
            let time_left = f.number("time_left")?;
            // Sites without tenants may leave it out.
            let tenant = f.0.next().and_then(|name| dialect.tenant(name));
            let (work, key) = (hint.filter(|_| bits & 1 == 1), (key != "-").then(|| tag(key)));
            Event::Request(Request { id, class, tenant, work, key, time_left })
        }
        "OPENED" => Event::StreamStarted {
            request: {
                started()?;
                f.number("rid")?
            },
        },
        "ATTEMPT_END" => {
            let dialect = started()?;
            Event::AttemptEnded {
                request: f.number("rid")?,
                attempt: f.number("copy")?,
                server: f.server()?,
                outcome: f.outcome()?,
                elapsed: f.number("elapsed")?,
                finished: f.flag("last")?,
                load: f.load(dialect)?,
            }
        }
        "EXPIRED" => Event::ClientLeft {
            request: {
                started()?;
                f.number("rid")?
            },
        },
        "ALARM" => Event::Timer {
            token: {
                started()?;
                f.number("key_back")?
            },
        },
        "PROBE_DONE" => {
            let dialect = started()?;
            Event::ProbeEnded {
                server: f.server()?,
                outcome: f.outcome()?,
                elapsed: f.number("elapsed")?,
                load: f.load(dialect)?,
            }
        }
        // Instances share nothing, so what a peer says is not used.
        "NEIGHBOUR_SAYS" => return started().map(|_| Line::Unused),
        _ => return Err(format!("unknown message {word}")),
    };
    Ok(Line::Event(event))
}

fn list_number(text: &str) -> Parsed<usize> {
    text.parse().ok().filter(|n| *n < LISTS).ok_or_else(|| format!("no valid list number: {text}"))
}

fn entry(f: &mut Fields) -> Parsed<Line> {
    let power: f64 = f.optional("power_hint")?.unwrap_or(1.0);
    let started_at = f.optional("started_at")?.filter(|&t| t != 0);
    let kind = tag(f.text("hw")?) as u32;
    let name = f.text("backend")?;
    let server = Server {
        id: ServerId(tag(name)),
        power,
        started_at,
        kind,
        cell: f.number("stripe")?,
        zone: tag(f.text("site")?) as u32,
        readiness: match f.text("readiness")? {
            "U" => Readiness::Ready,
            "L" => Readiness::Draining,
            "D" => Readiness::Gone,
            text => return Err(format!("unknown readiness {text}")),
        },
    };
    Ok(Line::Entry(server, name.to_owned()))
}

fn need<'a>(value: &'a Value, name: &str) -> Parsed<&'a Value> {
    value.get(name).ok_or_else(|| format!("settings lack {name}"))
}

fn need_int(value: &Value, name: &str) -> Parsed<i64> {
    need(value, name)?.as_i64().ok_or_else(|| format!("settings: {name} is not a whole number"))
}

fn need_float(value: &Value, name: &str) -> Parsed<f64> {
    need(value, name)?.as_f64().ok_or_else(|| format!("settings: {name} is not a number"))
}

fn need_flag(value: &Value, name: &str) -> Parsed<bool> {
    need(value, name)?.as_bool().ok_or_else(|| format!("settings: {name} is neither true nor false"))
}

fn need_text<'a>(value: &'a Value, name: &str) -> Parsed<&'a str> {
    need(value, name)?.as_str().ok_or_else(|| format!("settings: {name} is not a text"))
}

fn need_list<'a>(value: &'a Value, name: &str) -> Parsed<&'a Vec<Value>> {
    need(value, name)?.as_array().ok_or_else(|| format!("settings: {name} is not a list"))
}

/// A time that nothing could be kept within is an error, and no day on which all is refused.
fn need_above_0(value: &Value, name: &str) -> Parsed<i64> {
    let number = need_int(value, name)?;
    (number > 0).then_some(number).ok_or_else(|| format!("settings: {name} is not a whole number above 0"))
}

fn optional_float(value: &Value, name: &str, default: f64) -> Parsed<f64> {
    match value.get(name) {
        None | Some(Value::Null) => Ok(default),
        Some(_) => need_float(value, name),
    }
}

/// A whole number above 0, where there is one.
fn positive(group: &Value, name: &str, default: i64) -> Parsed<i64> {
    match group.get(name) {
        None => Ok(default),
        Some(v) => v
            .as_i64()
            .filter(|n| *n > 0)
            .ok_or_else(|| format!("settings: {name} is not a whole number above 0")),
    }
}

fn read_network(limits: &Value, rules: &Value) -> Parsed<Network> {
    let usual = Network::default();
    Ok(Network {
        conn_idle: positive(limits, "conn_idle", usual.conn_idle)?,
        connect_timeout: positive(limits, "connect_timeout", usual.connect_timeout)?,
        max_open: positive(limits, "max_open", usual.max_open as i64)? as usize,
        drain_grace: positive(rules, "drain_grace", usual.drain_grace)?,
    })
}

/// A tenant's requests a second over the whole fleet; 0 where none are stated.
fn quota(customer: &Value) -> Parsed<f64> {
    let Some(quota) = customer.get("quota_per_s") else { return Ok(0.0) };
    let wrong = || "settings: quota_per_s is not a number from 0 up".to_owned();
    quota.as_f64().filter(|q| *q >= 0.0).ok_or_else(wrong)
}

/// Reads the settings of an instance. Unknown keys are skipped.
pub fn parse_settings(json: &str) -> Parsed<(Settings, Dialect)> {
    read_settings(&serde_json::from_str(json).map_err(|e| format!("settings are not JSON: {e}"))?)
}

/// Reads settings that are JSON already; the sidecar finds them inside its configuration.
pub fn read_settings(all: &Value) -> Parsed<(Settings, Dialect)> {
    let (limits, rules) = (need(all, "limits")?, need(all, "obligations")?);
    let number = |v: &Value, group: &str, name: &str| {
        v.get(group).and_then(|g| g.get(name)).and_then(Value::as_f64).unwrap_or(0.0)
    };
    let mut classes = Vec::new();
    let mut names = Vec::new();
    for class in need_list(all, "request_classes")? {
        names.push(need_text(class, "name")?.to_owned());
        let effect = match need_text(class, "effect")? {
            "retryable" => Effect::Safe,
            "fragile" => Effect::Unsafe,
            "dedup" => Effect::Keyed {
                window: need_above_0(class, "window")?,
                group: match need_text(class, "group")? {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    text => return Err(format!("settings: unknown group {text}")),
                },
            },
            text => return Err(format!("settings: unknown effect {text}")),
        };
        classes.push(Class {
            latency_goal: need_above_0(class, "aim")?,
            client_timeout: need_above_0(class, "give_up")?,
            worth: need_float(class, "worth")?,
            late_worth: optional_float(class, "late_worth", 0.0)?,
            effect,
        });
    }
    let (mut tenants, mut quotas) = (Vec::new(), Vec::new());
    if all.get("customers").is_some() {
        for customer in need_list(all, "customers")? {
            tenants.push(need_text(customer, "name")?.to_owned());
            quotas.push(quota(customer)?);
        }
    }
    let how = need_text(need(all, "report")?, "how")?;
    let report = need_list(need(all, "report")?, "names")?;
    let retry_after = limits.get("retry_after").and_then(Value::as_bool).unwrap_or(false);
    let settings = Settings {
        sidecars: need_int(all, "fleet_size")?.max(1) as usize,
        zone: all.get("locality").and_then(Value::as_str).map(|z| tag(z) as u32),
        classes,
        tenants: quotas,
        over_share_worth: optional_float(all, "over_share_worth", 1.0)?,
        prices: Prices {
            probe: number(all, "prices", "probe"),
            cross_zone: number(all, "prices", "cross_zone"),
            waste: number(all, "prices", "waste"),
            handshake: number(all, "prices", "handshake"),
            connection: number(all, "prices", "connection"),
        },
        worst_class_weight: number(all, "scoring_mix", "worst_class"),
        must_subscribe: need_text(all, "discovery")? == "on_request",
        max_poll_interval: rules.get("must_ask_in").and_then(Value::as_i64).unwrap_or(10_000_000),
        probes: need_flag(limits, "probes")?,
        inline_reports: how == "inline",
        cancel: need_flag(limits, "cancel")?,
        second_copies: need_flag(limits, "second_copies")?,
        max_attempts: need_int(limits, "max_attempts")?.max(1) as usize,
        max_retry_after: if retry_after { need_int(limits, "max_retry_after")? } else { 0 },
        warm_keys: all["family_info"]["warm_keys"].as_bool().unwrap_or(false),
        answer_grace: need_int(rules, "grace_to_answer")?,
        cold_from: need_float(rules, "cold_from")?,
        warm_up: need_int(rules, "warm_up")?,
        fall_multiple: need_float(rules, "fall_multiple")?,
        overload_for: rules.get("overload_for").and_then(Value::as_i64).unwrap_or(1_500_000),
        network: read_network(limits, rules)?,
    };
    let report = report.iter().map(|n| n.as_str().unwrap_or("").to_owned()).collect();
    Ok((settings, Dialect { classes: names, tenants, report }))
}

/// The names of servers, to print actions with.
#[derive(Debug, Default)]
pub struct Names(HashMap<ServerId, String>);

impl Names {
    /// Remembers the name of a server. Two names with one id cannot be told apart: an error.
    pub fn learn(&mut self, id: ServerId, name: String) -> Parsed<()> {
        match self.0.get(&id) {
            Some(known) if *known == name => Ok(()),
            Some(known) => Err(format!("{known} and {name} have the same id")),
            None => {
                self.0.insert(id, name);
                Ok(())
            }
        }
    }

    /// Appends an action's line to `out`.
    pub fn print(&self, action: &Action, out: &mut String) {
        let name = |id: &ServerId| self.0.get(id).map_or("-", String::as_str);
        let written = match action {
            Action::Send { request, server, timeout } => match timeout {
                Some(t) => writeln!(out, "FORWARD {request} {} {t}", name(server)),
                None => writeln!(out, "FORWARD {request} {} -", name(server)),
            },
            Action::Cancel { request, attempt } => writeln!(out, "DROP_ATTEMPT {request} {attempt}"),
            Action::Refuse { request, retry_after, .. } => writeln!(out, "NOT_NOW {request} {retry_after}"),
            Action::Fail { request } => writeln!(out, "REPORT_FAILURE {request}"),
            Action::SetTimer { token, after } => writeln!(out, "TIMER {token} {after}"),
            Action::Probe { server } => writeln!(out, "ASK_LOAD {}", name(server)),
            Action::CloseIdle { server } => writeln!(out, "SHUT_IDLE {}", name(server)),
            Action::Subscribe => writeln!(out, "LISTEN 1"),
        };
        debug_assert!(written.is_ok(), "writing to a String cannot fail");
    }
}
