//! The simulator's line protocol, and the platform's settings, which it shares with the sidecar.
//!
//! Text lines become [`Event`]s, and [`Action`]s become text lines. No decisions are made here.

use roseproxy_decision::interface::*;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::str::{FromStr, SplitN};

/// Why a line or the settings could not be read.
pub type ParseError = String;
type Parsed<T> = Result<T, ParseError>;

/// One line of a batch.
#[derive(Debug)]
pub enum Line {
    /// Begins a batch: clock and batch number.
    Tick(Micros, u64),
    /// Selects the instance that the following lines are for.
    SelectInstance(String),
    /// Starts the selected instance: seed, settings, and the names that its further lines use.
    Start(u64, Box<Settings>, ProtocolNames),
    /// Kills the selected instance.
    Kill,
    /// Announces a list: its number, and how many entries follow.
    DefineList(usize, usize),
    /// An entry of the announced list, and the name of its server.
    Entry(Server, String),
    /// Delivers the list of that number to the selected instance; `None` if its call to discovery failed.
    Servers(Update, Option<usize>),
    /// Any other event of the selected instance.
    Event(Event<'static>),
    /// A line whose content is not used.
    Ignored,
    /// Ends the batch.
    Commit,
}

/// The names that the settings define: of request classes, of tenants, and of the values of a load report
/// in the order in which the line protocol sends them.
#[derive(Clone, Debug, Default)]
pub struct ProtocolNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    report_values: Vec<String>,
}

impl ProtocolNames {
    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c == name)
    }

    /// Returns the index of the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }
}

/// Number of lists that can be defined at the same time; their numbers begin at 0.
pub const MAX_LISTS: usize = 16;

/// Maximum number of fields after the first word of a line; the last one contains the rest of the line.
const MAX_FIELDS: usize = 16;

/// `obligations.must_ask_in` where the settings lack it.
const DEFAULT_MUST_ASK_IN_US: Micros = 10_000_000;
/// `obligations.overload_for` where the settings lack it.
const DEFAULT_OVERLOAD_FOR_US: Micros = 1_500_000;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Hashes a name with 64-bit FNV-1a. The hash is the same in every process and independent of earlier names.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |h, b| (h ^ u64::from(b)).wrapping_mul(FNV_PRIME))
}

/// The fields of a line that have not been read yet.
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
        self.text("backend").map(|name| ServerId(name_hash(name)))
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

    fn load(&mut self, names: &ProtocolNames) -> Parsed<Option<Load>> {
        let text = self.text("stats")?;
        if text == "-" {
            return Ok(None);
        }
        let mut load = Load::default();
        let mut values = text.split(',');
        for name in &names.report_values {
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

/// Bit of `bitmap` in `WORK_ITEM` that states that `work_hint` is valid.
const WORK_HINT_BIT: u64 = 1;

/// Reads one line. `names` are those of the selected instance; `None` if no started instance is selected.
pub fn parse(line: &str, names: Option<&ProtocolNames>) -> Parsed<Line> {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut fields = Fields(rest.splitn(MAX_FIELDS, ' '));
    let require_started = || names.ok_or_else(|| format!("{word} for an instance that was never started"));
    let event = match word {
        "TICK" => return Ok(Line::Tick(fields.number("clock")?, fields.number("index")?)),
        "COMMIT" => return Ok(Line::Commit),
        "AT" => return Ok(Line::SelectInstance(fields.text("agent")?.to_owned())),
        "START" => {
            let (seed, json) = rest.split_once(' ').ok_or("profile_data is missing")?;
            let seed = seed.parse().map_err(|_| format!("rng_seed is not a valid number: {seed}"))?;
            let (settings, names) = parse_settings(json)?;
            return Ok(Line::Start(seed, Box::new(settings), names));
        }
        "KILL" => return Ok(Line::Kill),
        "DEFINE_LIST" => {
            let list = list_number(fields.text("set_id")?)?;
            return Ok(Line::DefineList(list, fields.number("records")?));
        }
        "ENTRY" => return entry(&mut fields),
        "DISCOVERY" => {
            require_started()?;
            let list = fields.text("set_id")?;
            let update = match fields.text("how")? {
                "D" => Update::Changes,
                "F" | "C" => Update::Complete,
                "X" => return Ok(Line::Servers(Update::Failed, None)),
                how => return Err(format!("unknown kind of list {how}")),
            };
            let list = list_number(list)?;
            return Ok(Line::Servers(update, Some(list)));
        }
        "WORK_ITEM" => {
            let names = require_started()?;
            let id = fields.number("rid")?;
            let bitmap: u64 = fields.number("bitmap")?;
            let band = fields.text("band")?;
            let class = names.classes.iter().position(|c| c == band);
            let class = class.ok_or_else(|| format!("unknown class {band}"))?;
            let hint: Option<Micros> = fields.optional("work_hint")?;
            let key = fields.text("affinity")?;
            let time_left = fields.number("time_left")?;
            // The field is optional: platforms without tenants may omit it.
            let tenant = fields.0.next().and_then(|name| names.tenant(name));
            let (work, key) = (
                hint.filter(|_| bitmap & WORK_HINT_BIT == WORK_HINT_BIT),
                (key != "-").then(|| name_hash(key)),
            );
            Event::Request(Request { id, class, tenant, work, key, time_left })
        }
        "OPENED" => Event::StreamStarted {
            request: {
                require_started()?;
                fields.number("rid")?
            },
        },
        "ATTEMPT_END" => {
            let names = require_started()?;
            Event::AttemptEnded {
                request: fields.number("rid")?,
                attempt: fields.number("copy")?,
                server: fields.server()?,
                outcome: fields.outcome()?,
                elapsed: fields.number("elapsed")?,
                finished: fields.flag("last")?,
                load: fields.load(names)?,
            }
        }
        "EXPIRED" => Event::ClientLeft {
            request: {
                require_started()?;
                fields.number("rid")?
            },
        },
        "ALARM" => Event::Timer {
            token: {
                require_started()?;
                fields.number("key_back")?
            },
        },
        "PROBE_DONE" => {
            let names = require_started()?;
            Event::ProbeEnded {
                server: fields.server()?,
                outcome: fields.outcome()?,
                elapsed: fields.number("elapsed")?,
                load: fields.load(names)?,
            }
        }
        // Instances share no state, so messages of peers are ignored.
        "NEIGHBOUR_SAYS" => return require_started().map(|_| Line::Ignored),
        _ => return Err(format!("unknown message {word}")),
    };
    Ok(Line::Event(event))
}

fn list_number(text: &str) -> Parsed<usize> {
    text.parse().ok().filter(|n| *n < MAX_LISTS).ok_or_else(|| format!("no valid list number: {text}"))
}

fn entry(fields: &mut Fields) -> Parsed<Line> {
    let power: f64 = fields.optional("power_hint")?.unwrap_or(1.0);
    let started_at = fields.optional("started_at")?.filter(|&t| t != 0);
    let kind = name_hash(fields.text("hw")?) as u32;
    let name = fields.text("backend")?;
    let server = Server {
        id: ServerId(name_hash(name)),
        power,
        started_at,
        kind,
        cell: fields.number("stripe")?,
        zone: name_hash(fields.text("site")?) as u32,
        readiness: match fields.text("readiness")? {
            "U" => Readiness::Ready,
            "L" => Readiness::Draining,
            "D" => Readiness::Gone,
            text => return Err(format!("unknown readiness {text}")),
        },
    };
    Ok(Line::Entry(server, name.to_owned()))
}

fn required<'a>(value: &'a Value, name: &str) -> Parsed<&'a Value> {
    value.get(name).ok_or_else(|| format!("settings lack {name}"))
}

fn required_int(value: &Value, name: &str) -> Parsed<i64> {
    required(value, name)?.as_i64().ok_or_else(|| format!("settings: {name} is not a whole number"))
}

fn required_float(value: &Value, name: &str) -> Parsed<f64> {
    required(value, name)?.as_f64().ok_or_else(|| format!("settings: {name} is not a number"))
}

fn required_flag(value: &Value, name: &str) -> Parsed<bool> {
    required(value, name)?.as_bool().ok_or_else(|| format!("settings: {name} is neither true nor false"))
}

fn required_text<'a>(value: &'a Value, name: &str) -> Parsed<&'a str> {
    required(value, name)?.as_str().ok_or_else(|| format!("settings: {name} is not a text"))
}

fn required_list<'a>(value: &'a Value, name: &str) -> Parsed<&'a Vec<Value>> {
    required(value, name)?.as_array().ok_or_else(|| format!("settings: {name} is not a list"))
}

/// A time limit of 0 or less is a configuration error: no request could be answered within it, and every
/// request would be refused.
fn required_positive(value: &Value, name: &str) -> Parsed<i64> {
    let number = required_int(value, name)?;
    (number > 0).then_some(number).ok_or_else(|| format!("settings: {name} is not a whole number above 0"))
}

fn optional_float(value: &Value, name: &str, default: f64) -> Parsed<f64> {
    match value.get(name) {
        None | Some(Value::Null) => Ok(default),
        Some(_) => required_float(value, name),
    }
}

/// Reads an optional whole number above 0.
fn optional_positive(group: &Value, name: &str, default: i64) -> Parsed<i64> {
    match group.get(name) {
        None => Ok(default),
        Some(v) => v
            .as_i64()
            .filter(|n| *n > 0)
            .ok_or_else(|| format!("settings: {name} is not a whole number above 0")),
    }
}

fn read_network(limits: &Value, rules: &Value) -> Parsed<Network> {
    let defaults = Network::default();
    Ok(Network {
        conn_idle: optional_positive(limits, "conn_idle", defaults.conn_idle)?,
        connect_timeout: optional_positive(limits, "connect_timeout", defaults.connect_timeout)?,
        max_open: optional_positive(limits, "max_open", defaults.max_open as i64)? as usize,
        drain_grace: optional_positive(rules, "drain_grace", defaults.drain_grace)?,
    })
}

/// Reads a tenant's quota in requests per second over the whole fleet; 0 if it has none.
fn quota(customer: &Value) -> Parsed<f64> {
    let Some(quota) = customer.get("quota_per_s") else { return Ok(0.0) };
    let error = || "settings: quota_per_s is not a number from 0 up".to_owned();
    quota.as_f64().filter(|q| *q >= 0.0).ok_or_else(error)
}

/// Reads the settings of an instance from JSON text. Unknown keys are skipped.
pub fn parse_settings(json: &str) -> Parsed<(Settings, ProtocolNames)> {
    read_settings(&serde_json::from_str(json).map_err(|e| format!("settings are not JSON: {e}"))?)
}

/// Reads settings from a parsed JSON value, as they are part of the sidecar's configuration.
pub fn read_settings(all: &Value) -> Parsed<(Settings, ProtocolNames)> {
    let (limits, rules) = (required(all, "limits")?, required(all, "obligations")?);
    let optional_number = |v: &Value, group: &str, name: &str| {
        v.get(group).and_then(|g| g.get(name)).and_then(Value::as_f64).unwrap_or(0.0)
    };
    let mut classes = Vec::new();
    let mut class_names = Vec::new();
    for class in required_list(all, "request_classes")? {
        class_names.push(required_text(class, "name")?.to_owned());
        let effect = match required_text(class, "effect")? {
            "retryable" => Effect::Safe,
            "fragile" => Effect::Unsafe,
            "dedup" => Effect::Keyed {
                window: required_positive(class, "window")?,
                group: match required_text(class, "group")? {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    text => return Err(format!("settings: unknown group {text}")),
                },
            },
            text => return Err(format!("settings: unknown effect {text}")),
        };
        classes.push(Class {
            latency_goal: required_positive(class, "aim")?,
            client_timeout: required_positive(class, "give_up")?,
            worth: required_float(class, "worth")?,
            late_worth: optional_float(class, "late_worth", 0.0)?,
            effect,
        });
    }
    let (mut tenants, mut tenant_quotas) = (Vec::new(), Vec::new());
    if all.get("customers").is_some() {
        for customer in required_list(all, "customers")? {
            tenants.push(required_text(customer, "name")?.to_owned());
            tenant_quotas.push(quota(customer)?);
        }
    }
    let report_transport = required_text(required(all, "report")?, "how")?;
    let report_values = required_list(required(all, "report")?, "names")?;
    let retry_after = limits.get("retry_after").and_then(Value::as_bool).unwrap_or(false);
    let settings = Settings {
        sidecars: required_int(all, "fleet_size")?.max(1) as usize,
        zone: all.get("locality").and_then(Value::as_str).map(|z| name_hash(z) as u32),
        classes,
        tenants: tenant_quotas,
        over_share_worth: optional_float(all, "over_share_worth", 1.0)?,
        prices: Prices {
            probe: optional_number(all, "prices", "probe"),
            cross_zone: optional_number(all, "prices", "cross_zone"),
            waste: optional_number(all, "prices", "waste"),
            handshake: optional_number(all, "prices", "handshake"),
            connection: optional_number(all, "prices", "connection"),
        },
        worst_class_weight: optional_number(all, "scoring_mix", "worst_class"),
        must_subscribe: required_text(all, "discovery")? == "on_request",
        max_poll_interval: rules.get("must_ask_in").and_then(Value::as_i64).unwrap_or(DEFAULT_MUST_ASK_IN_US),
        probes: required_flag(limits, "probes")?,
        inline_reports: report_transport == "inline",
        cancel: required_flag(limits, "cancel")?,
        second_copies: required_flag(limits, "second_copies")?,
        max_attempts: required_int(limits, "max_attempts")?.max(1) as usize,
        max_retry_after: if retry_after { required_int(limits, "max_retry_after")? } else { 0 },
        warm_keys: all["family_info"]["warm_keys"].as_bool().unwrap_or(false),
        answer_grace: required_int(rules, "grace_to_answer")?,
        cold_from: required_float(rules, "cold_from")?,
        warm_up: required_int(rules, "warm_up")?,
        fall_multiple: required_float(rules, "fall_multiple")?,
        overload_for: rules.get("overload_for").and_then(Value::as_i64).unwrap_or(DEFAULT_OVERLOAD_FOR_US),
        network: read_network(limits, rules)?,
    };
    let report_values = report_values.iter().map(|n| n.as_str().unwrap_or("").to_owned()).collect();
    Ok((settings, ProtocolNames { classes: class_names, tenants, report_values }))
}

/// Names of servers by id, for writing actions.
#[derive(Debug, Default)]
pub struct ServerNames(HashMap<ServerId, String>);

impl ServerNames {
    /// Adds the name of a server. It is an error if another name has the same id, because the two servers
    /// could not be distinguished.
    pub fn insert(&mut self, id: ServerId, name: String) -> Parsed<()> {
        match self.0.get(&id) {
            Some(known) if *known == name => Ok(()),
            Some(known) => Err(format!("{known} and {name} have the same id")),
            None => {
                self.0.insert(id, name);
                Ok(())
            }
        }
    }

    /// Appends the line of an action to `out`.
    pub fn write_action(&self, action: &Action, out: &mut String) {
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
