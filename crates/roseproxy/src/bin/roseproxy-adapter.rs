//! Hosts balancer instances behind the simulator's wire on standard input and output.
#![forbid(unsafe_code)]

use roseproxy_decision::interface::{Action, Event, Micros, Server, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_platform::wire::{parse, Dialect, Line, Names, LISTS};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

struct Slot {
    agent: String,
    instance: Option<Instance>,
    /// Whether it has events in this batch.
    touched: bool,
}

struct Instance {
    balancer: Balancer,
    dialect: Dialect,
    actions: Vec<Action>,
}

#[derive(Default)]
struct Host {
    /// Where an agent's instance stands in `slots`.
    index: HashMap<String, usize>,
    slots: Vec<Slot>,
    names: Names,
    lists: [Option<Vec<Server>>; LISTS],
    /// The list being read and how many entries it still lacks.
    filling: Option<(usize, usize)>,
    at: Option<usize>,
    /// Clock and number of the open batch.
    batch: Option<(Micros, u64)>,
    /// Agents with events in this batch, in order.
    touched: Vec<usize>,
    reply: String,
}

impl Host {
    fn start(&mut self, seed: u64, settings: Settings, dialect: Dialect, now: Micros) -> Result<(), String> {
        let slot = self.at.ok_or("START outside of an instance")?;
        let balancer = Balancer::new(settings, seed, now);
        self.slots[slot].instance = Some(Instance { balancer, dialect, actions: Vec::new() });
        Ok(())
    }

    fn select(&mut self, agent: String) {
        let slot = match self.index.get(&agent) {
            Some(&slot) => slot,
            None => {
                self.slots.push(Slot { agent: agent.clone(), instance: None, touched: false });
                self.index.insert(agent, self.slots.len() - 1);
                self.slots.len() - 1
            }
        };
        self.at = Some(slot);
        if !std::mem::replace(&mut self.slots[slot].touched, true) {
            self.touched.push(slot);
        }
    }

    fn deliver(&mut self, now: Micros, event: Event) -> Result<(), String> {
        let slot = self.at.ok_or("an event outside of an instance")?;
        let instance = self.slots[slot].instance.as_mut().ok_or("an event for an instance never started")?;
        instance.balancer.handle(now, event, &mut instance.actions);
        Ok(())
    }

    /// Takes one line; true when the reply is complete.
    fn take(&mut self, line: &str) -> Result<bool, String> {
        let dialect = self.at.and_then(|slot| self.slots[slot].instance.as_ref()).map(|i| &i.dialect);
        let line = parse(line, dialect)?;
        if self.filling.is_some() && !matches!(line, Line::Entry(..)) {
            return Err("a list has fewer entries than announced".into());
        }
        let Some((now, number)) = self.batch else {
            return match line {
                Line::Tick(now, number) => {
                    self.batch = Some((now, number));
                    Ok(false)
                }
                _ => Err("a line outside of a batch".into()),
            };
        };
        match line {
            Line::Tick(..) => return Err("a batch inside of a batch".into()),
            Line::At(agent) => self.select(agent),
            Line::Start(seed, settings, dialect) => self.start(seed, *settings, dialect, now)?,
            // All that the instance wanted to do ends with it, also what it asked for in this batch.
            Line::Kill => self.slots[self.at.ok_or("KILL outside of an instance")?].instance = None,
            Line::Define(list, entries) => {
                self.lists[list] = Some(Vec::new());
                self.filling = (entries > 0).then_some((list, entries));
            }
            Line::Entry(server, name) => {
                let (list, left) = self.filling.ok_or("an entry outside of a list")?;
                self.names.learn(server.id, name)?;
                self.lists[list].get_or_insert_with(Vec::new).push(server);
                self.filling = (left > 1).then_some((list, left - 1));
            }
            Line::Servers(update, list) => {
                let taken = list.map(|l| (l, self.lists[l].take()));
                let servers = match &taken {
                    Some((list, None)) => return Err(format!("list {list} was never defined")),
                    Some((_, Some(servers))) => servers.as_slice(),
                    None => &[],
                };
                self.deliver(now, Event::Servers { update, servers })?;
                if let Some((list, servers)) = taken {
                    self.lists[list] = servers;
                }
            }
            Line::Event(event) => self.deliver(now, event)?,
            Line::Unused => {}
            Line::Commit => {
                self.finish(number);
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Writes the reply of a batch.
    fn finish(&mut self, number: u64) {
        for slot in self.touched.drain(..) {
            let Slot { agent, instance, touched } = &mut self.slots[slot];
            *touched = false;
            let Some(instance) = instance else { continue };
            if !instance.actions.is_empty() {
                self.reply.push_str("INSTANCE ");
                self.reply.push_str(agent);
                self.reply.push('\n');
            }
            for action in instance.actions.drain(..) {
                self.names.print(&action, &mut self.reply);
            }
        }
        self.reply.push_str(&format!("READY {number}\n"));
        (self.batch, self.at) = (None, None);
    }
}

fn run() -> Result<(), String> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let (mut host, mut line, mut count) = (Host::default(), String::new(), 0_u64);
    loop {
        line.clear();
        count += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {count}: {e}"))?;
        if read == 0 {
            return match host.batch {
                None => Ok(()),
                Some(_) => Err(format!("line {count}: the input ends inside of a batch")),
            };
        }
        if host.take(line.trim_end_matches(['\n', '\r'])).map_err(|e| format!("line {count}: {e}"))? {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| e.to_string())?;
            host.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("roseproxy-adapter: {reason}");
            ExitCode::FAILURE
        }
    }
}
