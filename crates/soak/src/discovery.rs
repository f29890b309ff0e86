//! Discovery as a process: the whole list and watches, on two ports for each sidecar, so that it knows who is told and
//! can move.

use crate::control::{follow, Member, Registry};
use crate::fleet::LISTED_CELL;
use crate::http::Reader;
use crate::records::{now, print, Record};
use serde_json::{json, Value};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// How often a watch is told that nothing has changed.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How long a call waits in the queue of a discovery that is down, before it is turned away.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after a write its connection may break so that it counts as lost (ms).
const MAY_BE_LOST: f64 = 100.0;
/// How long a port that was left serves its open watches on.
const LEFT: Duration = Duration::from_millis(1_500);

/// One of the two ports of one sidecar.
struct Port {
    sidecar: usize,
    number: usize,
    state: watch::Receiver<Registry>,
}

/// Serves all sidecars until the standard input ends; `ports` holds two for each.
pub async fn run(ports: &[u16]) -> io::Result<()> {
    let (sender, state) = watch::channel(Registry::default());
    let _told = follow::<Registry>(move |next| drop(sender.send_replace(next.clone())));
    for (at, port) in ports.iter().enumerate() {
        let listener = TcpListener::bind(("127.0.0.1", *port)).await?;
        let port = Rc::new(Port { sidecar: at / 2, number: at % 2, state: state.clone() });
        spawn_local(accept(port, listener));
    }
    std::future::pending().await
}

async fn accept(port: Rc<Port>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if port.serves() {
            spawn_local(port.clone().serve(stream));
        } else if port.queues() {
            spawn_local(turn_away(stream));
        }
    }
}

impl Port {
    fn serves(&self) -> bool {
        let state = self.state.borrow();
        !state.down && state.port == self.number
    }

    fn queues(&self) -> bool {
        let state = self.state.borrow();
        state.down && state.queues && state.port == self.number
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut reader = Reader::default();
        // How a call ends is the sidecar's business.
        while let Ok(Some(request)) = reader.message(&mut stream).await {
            let done = match request.start.contains("stream=1") {
                true => self.watch(&mut stream).await,
                false => self.list(&mut stream).await,
            };
            if done.is_err() {
                return;
            }
        }
    }

    async fn list(&self, stream: &mut TcpStream) -> io::Result<()> {
        let state = self.state.borrow().clone();
        self.record(&state.members);
        let text = text(&state, true, &state.members);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all((head + &text).as_bytes()).await
    }

    /// Tells of changes until the connection ends, this port is left, or discovery goes down.
    async fn watch(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let (mut from_sidecar, mut to_sidecar) = stream.split();
        let mut changes = self.state.clone();
        let mut known = changes.borrow_and_update().clone();
        let silences = known.silences;
        let mut latest = self.record(&known.members);
        chunk(&mut to_sidecar, &(text(&known, true, &known.members) + "\n")).await?;
        loop {
            let changed = tokio::time::timeout(HEARTBEAT, changes.changed());
            let changed = tokio::select! {
                biased;
                changed = changed => changed,
                // A watch's caller says nothing more: this is its end.
                _ = from_sidecar.read_u8() => {
                    latest.lost();
                    return Ok(());
                }
            };
            match changed {
                Err(_) => chunk(&mut to_sidecar, "\n").await?,
                Ok(Err(_)) => return Ok(()),
                Ok(Ok(())) => {
                    let next = changes.borrow_and_update().clone();
                    if next.silences != silences {
                        return std::future::pending().await;
                    }
                    if next.port != self.number {
                        tokio::time::sleep(LEFT).await;
                    }
                    if !self.serves() {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    let changed: Vec<Member> =
                        next.members.iter().filter(|m| !known.members.contains(m)).cloned().collect();
                    if !changed.is_empty() {
                        latest = self.record(&changed);
                        let written = chunk(&mut to_sidecar, &(text(&next, false, &changed) + "\n")).await;
                        if written.is_err() {
                            latest.lost();
                            return written;
                        }
                    }
                    known = next;
                }
            }
        }
    }

    /// Records that a sidecar is told of these.
    fn record(&self, members: &[Member]) -> Written {
        let (at, sidecar) = (now(), self.sidecar);
        for member in members {
            let endpoint = member.endpoint;
            print(&Record::Told { sidecar, endpoint, at, in_service: member.phase == "in_service" });
        }
        Written { sidecar, at, endpoints: members.iter().map(|m| m.endpoint).collect() }
    }
}

/// What was written to a sidecar last.
struct Written {
    sidecar: usize,
    at: f64,
    endpoints: Vec<usize>,
}

impl Written {
    /// Its connection has broken; what was written just before may not have arrived.
    fn lost(&self) {
        let (sidecar, at) = (self.sidecar, self.at);
        if now() - at <= MAY_BE_LOST {
            self.endpoints
                .iter()
                .for_each(|endpoint| print(&Record::Lost { sidecar, endpoint: *endpoint, at }));
        }
    }
}

/// Has a call wait in the queue, and turns it away.
async fn turn_away(mut stream: TcpStream) {
    let called = Reader::default().message(&mut stream).await;
    if matches!(called, Ok(Some(_))) {
        tokio::time::sleep(QUEUE_TIMEOUT).await;
        // Who has left hears nothing.
        let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
    }
}

fn text(state: &Registry, complete: bool, members: &[Member]) -> String {
    let list = list(state, complete, members);
    if state.indented {
        serde_json::to_string_pretty(&list).unwrap_or_default()
    } else {
        list.to_string()
    }
}

/// A list or changes in discovery's form.
pub fn list(state: &Registry, complete: bool, members: &[Member]) -> Value {
    let entry = |m: &Member| {
        json!({"id": format!("s-{}", m.id), "host_port": format!("127.0.0.1:{}", m.port), "locality": "a",
            "flavor": "m", "cell": m.cell, "phase": m.phase, "size": 1.0, "up_since_ms": m.up_since_ms})
    };
    let of_list = |m: &&Member| !complete || m.phase != "terminated";
    let mut members: Vec<Value> = members.iter().filter(of_list).map(entry).collect();
    if complete {
        members.extend((0..state.listed).map(|number| listed(number, state.listed_port)));
    }
    json!({"revision": state.revision, "complete": complete, "members": members})
}

/// The entry of an endpoint that is only listed.
fn listed(number: usize, port: u16) -> Value {
    json!({"id": format!("l-{number}"), "host_port": format!("127.0.0.1:{port}"), "locality": "a", "flavor": "m",
        "cell": LISTED_CELL, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

async fn chunk(stream: &mut (impl AsyncWrite + Unpin), text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
