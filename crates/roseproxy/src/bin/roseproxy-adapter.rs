//! Runs balancer instances for the simulator, which sends lines on standard input and reads the replies on
//! standard output.
//!
//! Input arrives in batches, from `TICK` to `COMMIT`; each batch is answered with the actions of its
//! instances and a final `READY`. The line protocol is defined in [`roseproxy_platform::wire`], and the
//! decisions are made by [`roseproxy_decision`]. Begin reading at `Host::handle_line`.
#![forbid(unsafe_code)]

use roseproxy_decision::interface::{Action, Event, Micros, Server, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_platform::wire::{parse, Line, ProtocolNames, ServerNames, MAX_LISTS};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// An agent of the simulator, and its instance while one runs.
struct Slot {
    agent: String,
    instance: Option<Instance>,
    /// Whether the agent was selected in the current batch.
    selected_in_batch: bool,
}

/// A running balancer instance.
struct Instance {
    balancer: Balancer,
    names: ProtocolNames,
    actions: Vec<Action>,
}

/// All instances, the lists that are defined, and the state of the current batch.
#[derive(Default)]
struct Host {
    /// Index in `slots` by agent.
    index: HashMap<String, usize>,
    slots: Vec<Slot>,
    names: ServerNames,
    lists: [Option<Vec<Server>>; MAX_LISTS],
    /// The list being read, and the number of its entries that are still to come.
    pending_list: Option<(usize, usize)>,
    /// Index in `slots` of the agent that the lines are for.
    selected: Option<usize>,
    /// Clock and number of the current batch.
    batch: Option<(Micros, u64)>,
    /// Indexes in `slots` of the agents selected in the current batch, in order.
    batch_slots: Vec<usize>,
    reply: String,
}

impl Host {
    fn start(
        &mut self,
        seed: u64,
        settings: Settings,
        names: ProtocolNames,
        now: Micros,
    ) -> Result<(), String> {
        let slot = self.selected.ok_or("START outside of an instance")?;
        let balancer = Balancer::new(settings, seed, now);
        self.slots[slot].instance = Some(Instance { balancer, names, actions: Vec::new() });
        Ok(())
    }

    fn select(&mut self, agent: String) {
        let slot = match self.index.get(&agent) {
            Some(&slot) => slot,
            None => {
                self.slots.push(Slot { agent: agent.clone(), instance: None, selected_in_batch: false });
                self.index.insert(agent, self.slots.len() - 1);
                self.slots.len() - 1
            }
        };
        self.selected = Some(slot);
        if !std::mem::replace(&mut self.slots[slot].selected_in_batch, true) {
            self.batch_slots.push(slot);
        }
    }

    fn deliver(&mut self, now: Micros, event: Event) -> Result<(), String> {
        let slot = self.selected.ok_or("an event outside of an instance")?;
        let instance = self.slots[slot].instance.as_mut().ok_or("an event for an instance never started")?;
        instance.balancer.handle(now, event, &mut instance.actions);
        Ok(())
    }

    /// Processes one line. Returns true when the batch has ended and the reply is complete.
    fn handle_line(&mut self, line: &str) -> Result<bool, String> {
        let names = self.selected.and_then(|slot| self.slots[slot].instance.as_ref()).map(|i| &i.names);
        let line = parse(line, names)?;
        if self.pending_list.is_some() && !matches!(line, Line::Entry(..)) {
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
            Line::SelectInstance(agent) => self.select(agent),
            Line::Start(seed, settings, names) => self.start(seed, *settings, names, now)?,
            // The pending actions of an instance are dropped with it, including those of this batch.
            Line::Kill => self.slots[self.selected.ok_or("KILL outside of an instance")?].instance = None,
            Line::DefineList(list, entries) => {
                self.lists[list] = Some(Vec::new());
                self.pending_list = (entries > 0).then_some((list, entries));
            }
            Line::Entry(server, name) => {
                let (list, left) = self.pending_list.ok_or("an entry outside of a list")?;
                self.names.insert(server.id, name)?;
                self.lists[list].get_or_insert_with(Vec::new).push(server);
                self.pending_list = (left > 1).then_some((list, left - 1));
            }
            Line::Servers(update, list) => {
                let detached = list.map(|l| (l, self.lists[l].take()));
                let servers = match &detached {
                    Some((list, None)) => return Err(format!("list {list} was never defined")),
                    Some((_, Some(servers))) => servers.as_slice(),
                    None => &[],
                };
                self.deliver(now, Event::Servers { update, servers })?;
                if let Some((list, servers)) = detached {
                    self.lists[list] = servers;
                }
            }
            Line::Event(event) => self.deliver(now, event)?,
            Line::Ignored => {}
            Line::Commit => {
                self.write_reply(number);
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Writes the reply to a batch and ends the batch.
    fn write_reply(&mut self, number: u64) {
        for slot in self.batch_slots.drain(..) {
            let Slot { agent, instance, selected_in_batch } = &mut self.slots[slot];
            *selected_in_batch = false;
            let Some(instance) = instance else { continue };
            if !instance.actions.is_empty() {
                self.reply.push_str("INSTANCE ");
                self.reply.push_str(agent);
                self.reply.push('\n');
            }
            for action in instance.actions.drain(..) {
                self.names.write_action(&action, &mut self.reply);
            }
        }
        self.reply.push_str(&format!("READY {number}\n"));
        (self.batch, self.selected) = (None, None);
    }
}

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn run() -> Result<(), String> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let (mut host, mut line, mut line_number) = (Host::default(), String::new(), 0_u64);
    loop {
        line.clear();
        line_number += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {line_number}: {e}"))?;
        if read == 0 {
            return match host.batch {
                None => Ok(()),
                Some(_) => Err(format!("line {line_number}: the input ends inside of a batch")),
            };
        }
        if host
            .handle_line(line.trim_end_matches(['\n', '\r']))
            .map_err(|e| format!("line {line_number}: {e}"))?
        {
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
