//! Clients: the applications beside the sidecars, open-loop, with retries, and the oracles on answers.

use crate::day::Effect;
use crate::fabric::Fabric;
use crate::http::{Answer, Unread, Wire};
use crate::ledger::{Regret, Rule, TryEnd};
use crate::plan::hashed;
use crate::world::World;
use std::rc::Rc;
use tokio::task::spawn_local;

/// How long after a retry's end there must be time for another (ms).
const LEAST: f64 = 20.0;

/// Asks for all that the day holds, at its time; returns when the last has its end.
pub async fn ask<F: Fabric>(world: Rc<World<F>>) {
    let mut open = Vec::new();
    for flow in 0..world.plan.arrivals.len() {
        let arrival = &world.plan.arrivals[flow];
        world.until(world.day_at(arrival.at)).await;
        // The application dies with its sidecar: what it would have asked for is not asked for.
        if !world.applications.asks(arrival.sidecar) {
            world.unasked.borrow_mut().insert(flow);
            continue;
        }
        open.push(spawn_local(follow(world.clone(), flow)));
        if open.len() > 4096 {
            open.retain(|task| !task.is_finished());
        }
    }
    for task in open {
        let _ = task.await;
    }
}

/// One flow with all its tries.
async fn follow<F: Fabric>(world: Rc<World<F>>, flow: usize) {
    let plan = &world.plan;
    let arrival = &plan.arrivals[flow];
    let class = plan.class(arrival);
    let (begun, seed) = (world.now(), plan.seed);
    let honours = hashed(seed, &[21, flow as u64]) < plan.clients.honour;
    for number in 0..=plan.clients.retries {
        let left = begun + class.deadline_ms - world.now();
        if left < LEAST {
            return;
        }
        let patience = left.min(class.deadline_ms * plan.clients.try_share);
        let end = attempt(&world, flow, number, patience).await;
        let again = match end {
            TryEnd::Served | TryEnd::Excused | TryEnd::Open => false,
            TryEnd::Refused(_) | TryEnd::NoConnection => true,
            // It may have run.
            TryEnd::Failed(_) | TryEnd::Nothing => class.effect == Effect::Safe,
        };
        if !again || !world.applications.asks(arrival.sidecar) {
            return;
        }
        let wait = match end {
            TryEnd::Refused(advice) if honours && advice > 0.0 => advice,
            _ => plan.clients.backoff,
        };
        if wait > 0.0 {
            world.sleep(wait).await;
        }
    }
}

/// One try: writes the request, waits for its answer, and judges what came.
async fn attempt<F: Fabric>(world: &Rc<World<F>>, flow: usize, number: usize, patience: f64) -> TryEnd {
    let plan = &world.plan;
    let arrival = &plan.arrivals[flow];
    let (sidecar, class) = (arrival.sidecar, plan.class(arrival));
    // When every connection is busy and the places are taken, a request waits at its client; that time is
    // the client's own.
    let until = world.now() + patience;
    let place = tokio::time::timeout_at(
        world.environment.clock.instant(until - LEAST),
        world.places(sidecar).acquire(),
    )
    .await;
    let patience = until - world.now();
    let id = (hashed(plan.seed, &[22, flow as u64, number as u64]) * (1_u64 << 53) as f64) as u64;
    let at = world.ledger.borrow_mut().begin(id, flow, number, world.now(), until);
    let Ok(Ok(_place)) = place else {
        world.ledger.borrow_mut().end(world.now(), at, TryEnd::NoConnection, None);
        return TryEnd::NoConnection;
    };
    let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
    let object = arrival.key.map_or(String::new(), |key| format!("?obj=k{key}"));
    let body =
        if class.effect == Effect::Safe { "" } else { "{\"design\":\"W-1200x900\",\"profile\":\"A\"}" };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let key = plan.key_of(flow).map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let text = format!(
        "{method} /{name}{object} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id:016x}\r\n\
         Request-Class: {name}\r\nTenant: {tenant}\r\nRequest-Timeout: {wait:.3}\r\n{key}{length}\r\n{body}",
        name = class.name,
        tenant = plan.day.tenants[arrival.tenant].name,
        wait = patience / 1e3,
    );
    let (kills, sent) = (world.applications.kills(sidecar), world.now());
    let limit = world.environment.clock.instant(until + plan.day.clients.slack_ms);
    let exchanged = tokio::time::timeout_at(limit, exchange(world, sidecar, at, text.as_bytes())).await;
    let now = world.now();
    let excused = world.applications.excused(sidecar, kills);
    let taken = world.ledger.borrow().tries[at].taken;
    let (end, regret) = match exchanged {
        Ok(Ok(answer)) => judge(world, flow, at, &answer),
        _ if excused => (TryEnd::Excused, None),
        Ok(Err(Unread::Closed | Unread::Broken)) if !taken => (TryEnd::NoConnection, None),
        Ok(Err(why)) => {
            let (rule, what) = match why {
                Unread::Garbled(what) => (Rule::WrongBody, what),
                _ => (Rule::Lost, "the connection ended".into()),
            };
            world.ledger.borrow_mut().broke(now, rule, Some(sidecar), Some(flow), what);
            (TryEnd::Nothing, None)
        }
        Err(_) if !taken => (TryEnd::NoConnection, None),
        Err(_) => {
            let what = format!("no answer {:.0} ms after it was sent", now - sent);
            world.ledger.borrow_mut().broke(now, Rule::Unanswered, Some(sidecar), Some(flow), what);
            (TryEnd::Nothing, None)
        }
    };
    world.ledger.borrow_mut().end(now, at, end, regret);
    end
}

/// Writes a request on a connection that is free, or on a new one, and reads the answer.
async fn exchange<F: Fabric>(
    world: &Rc<World<F>>,
    sidecar: usize,
    at: usize,
    text: &[u8],
) -> Result<Answer, Unread> {
    loop {
        let kept = world.kept(sidecar);
        let reused = kept.is_some();
        let mut wire = match kept {
            Some(wire) => wire,
            None => {
                let address = world.environment.addresses.listen(sidecar);
                Wire::new(world.environment.fabric.connect(address).await.map_err(|_| Unread::Closed)?)
            }
        };
        if wire.write(text).await.is_err() {
            if reused {
                continue;
            }
            return Err(Unread::Closed);
        }
        world.ledger.borrow_mut().tries[at].taken = true;
        match wire.answer().await {
            Ok(answer) => {
                if !answer.closes() {
                    world.keep(sidecar, wire);
                }
                return Ok(answer);
            }
            // A close between requests crossed this one: it is sent once more, on a new connection.
            Err(Unread::Closed) if reused => world.ledger.borrow_mut().tries[at].taken = false,
            Err(why) => return Err(why),
        }
    }
}

/// What an answer is worth, and whether it may be at all.
fn judge<F: Fabric>(
    world: &Rc<World<F>>,
    flow: usize,
    at: usize,
    answer: &Answer,
) -> (TryEnd, Option<Regret>) {
    let now = world.now();
    let arrival = &world.plan.arrivals[flow];
    let until = world.ledger.borrow().tries[at].until;
    if now > until + world.plan.day.clients.slack_ms {
        let what = format!("{:.0} ms after its time", now - until);
        world.ledger.borrow_mut().broke(now, Rule::Late, Some(arrival.sidecar), Some(flow), what);
    }
    match answer.status {
        200 => {
            let made = world.ledger.borrow().is_made(at, &answer.body);
            if !made {
                let what = String::from_utf8_lossy(&answer.body[..answer.body.len().min(80)]).into_owned();
                world.ledger.borrow_mut().broke(
                    now,
                    Rule::WrongBody,
                    Some(arrival.sidecar),
                    Some(flow),
                    what,
                );
                return (TryEnd::Failed(200), None);
            }
            (TryEnd::Served, None)
        }
        429 | 503 => {
            let advice =
                answer.header("retry-after").and_then(|v| v.trim().parse::<f64>().ok()).unwrap_or(0.0);
            (TryEnd::Refused(advice * 1e3), Some(world.regret(flow)))
        }
        status => (TryEnd::Failed(status), None),
    }
}
