//! Bad clients: what they send, and what they are owed (an error or a close, in time).

use crate::fabric::Fabric;
use crate::ledger::Rule;
use crate::plan::hashed;
use crate::world::World;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long a bad client may be left without an error or a close (ms).
const OWED: f64 = 3_000.0;

/// What they send, by turns. None of it can be a request that is served.
const BAD: [&str; 14] = [
    "\0\x01\x02\x03 what is this\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nX-Endless: ",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad1\r\nContent-Length: -5\r\n\r\nhello",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad2\r\nContent-Length: 99999999999999999999\r\n\r\nhello",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad3\r\nContent-Length: 60000000\r\n\r\nhello",
    "GET /no-such-class HTTP/1.1\r\nHost: x\r\nRequest-Id: bad4\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nRequest-Id: bad5\r\nRequest-Timeout: soon\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 0.5\r\n\r\n",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad6\r\nContent-Length: 30\r\n\r\nhalf",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad7\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad8\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Id: b\r\n\r\n",
    "BREW /quote HTTP/1.1\r\nHost: x\r\nRequest-Id: bad9\r\n\r\n",
    "",
];

/// Sends bad requests to one sidecar, about so many a second, until a time.
pub async fn annoy<F: Fabric>(world: Rc<World<F>>, sidecar: usize, rate: f64, until: f64) {
    let mut number = 0_u64;
    while world.now() < until && rate > 0.0 {
        let draw = hashed(world.plan.seed, &[31, sidecar as u64, number]);
        world.sleep(-(draw.max(1e-9)).ln() / rate * 1e3).await;
        number += 1;
        if world.sidecar_up(sidecar) {
            tokio::task::spawn_local(one(world.clone(), sidecar, number));
        }
    }
}

async fn one<F: Fabric>(world: Rc<World<F>>, sidecar: usize, number: u64) {
    let text = BAD[number as usize % BAD.len()];
    let (kills, began) = (world.kills(sidecar), world.now());
    let Ok(mut stream) = world.fabric.connect(world.addresses.listen(sidecar)).await else { return };
    world.ledger.borrow_mut().bad.0 += 1;
    let exchange = async {
        let _ = stream.write_all(text.as_bytes()).await;
        let mut answer = Vec::new();
        let mut some = [0; 1024];
        loop {
            match stream.read(&mut some).await {
                Ok(0) | Err(_) => return answer,
                Ok(read) => answer.extend_from_slice(&some[..read]),
            }
            // An answer is enough; the connection may stay open.
            if answer.windows(4).any(|w| w == b"\r\n\r\n") {
                return answer;
            }
        }
    };
    let limit = world.instant(began + OWED + world.plan.day.limits.slack_ms);
    let answer = tokio::time::timeout_at(limit, exchange).await;
    let excused = world.excused(sidecar, kills);
    let now = world.now();
    let mut ledger = world.ledger.borrow_mut();
    match answer {
        Ok(answer) if answer.starts_with(b"HTTP/1.1 200") => {
            ledger.broke(now, Rule::ServedBad, Some(sidecar), None, format!("{text:.60?}"));
        }
        Ok(_) => ledger.bad.1 += 1,
        Err(_) if excused => ledger.bad.1 += 1,
        Err(_) => ledger.broke(now, Rule::BadUnanswered, Some(sidecar), None, format!("{text:.60?}")),
    }
}
