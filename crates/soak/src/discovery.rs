//! Discovery stand-in: serves the complete list and watches for changes.
//!
//! It listens on two ports per sidecar: the port tells which sidecar is notified, and switching ports moves discovery.

use crate::control::{follow_stdin, Member, Registry};
use crate::fleet::LISTED_CELL;
use crate::http::MessageReader;
use crate::records::{now, print, Record};
use serde_json::{json, Value};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Interval at which a watch is sent an empty line when nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a call is queued while discovery is down, before it is rejected.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a write within which a break of the connection means that the write may be lost.
const LOSS_WINDOW_MS: f64 = 100.0;
/// Time for which open watches on the previous port are kept after discovery has moved to the other one.
const MOVED_WATCH_GRACE: Duration = Duration::from_millis(1_500);

/// One of the two ports of a sidecar.
struct Port {
    sidecar: usize,
    number: usize,
    state: watch::Receiver<Registry>,
}

/// Serves all sidecars until standard input ends; `ports` holds two ports per sidecar, in order.
pub async fn run(ports: &[u16]) -> io::Result<()> {
    let (sender, state) = watch::channel(Registry::default());
    let _latest = follow_stdin::<Registry>(move |next_state| drop(sender.send_replace(next_state.clone())));
    for (index, port) in ports.iter().enumerate() {
        let listener = TcpListener::bind(("127.0.0.1", *port)).await?;
        let port = Rc::new(Port { sidecar: index / 2, number: index % 2, state: state.clone() });
        spawn_local(accept(port, listener));
    }
    std::future::pending().await
}

async fn accept(port: Rc<Port>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if port.is_active() {
            spawn_local(port.clone().serve(stream));
        } else if port.is_queueing() {
            spawn_local(queue_and_reject(stream));
        }
    }
}

impl Port {
    fn is_active(&self) -> bool {
        let state = self.state.borrow();
        !state.down && state.active_port == self.number
    }

    fn is_queueing(&self) -> bool {
        let state = self.state.borrow();
        state.down && state.queue_while_down && state.active_port == self.number
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut reader = MessageReader::default();
        // Errors of a call are for the sidecar to handle; the connection just ends here.
        while let Ok(Some(request)) = reader.read_message(&mut stream).await {
            let result = match request.start_line.contains("stream=1") {
                true => self.watch(&mut stream).await,
                false => self.send_list(&mut stream).await,
            };
            if result.is_err() {
                return;
            }
        }
    }

    async fn send_list(&self, stream: &mut TcpStream) -> io::Result<()> {
        let state = self.state.borrow().clone();
        self.record_notice(&state.members);
        let text = to_text(&state, true, &state.members);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all((head + &text).as_bytes()).await
    }

    /// Sends changes until the connection ends, discovery moves away from this port, or discovery goes down.
    async fn watch(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let (mut from_sidecar, mut to_sidecar) = stream.split();
        let mut changes = self.state.clone();
        let mut known = changes.borrow_and_update().clone();
        let silence_count = known.silence_count;
        let mut latest = self.record_notice(&known.members);
        write_chunk(&mut to_sidecar, &(to_text(&known, true, &known.members) + "\n")).await?;
        loop {
            let changed = tokio::time::timeout(HEARTBEAT_INTERVAL, changes.changed());
            let changed = tokio::select! {
                biased;
                changed = changed => changed,
                // The caller of a watch sends no further data, so any read means that the connection has ended.
                _ = from_sidecar.read_u8() => {
                    latest.report_lost();
                    return Ok(());
                }
            };
            match changed {
                Err(_) => write_chunk(&mut to_sidecar, "\n").await?,
                Ok(Err(_)) => return Ok(()),
                Ok(Ok(())) => {
                    let next_state = changes.borrow_and_update().clone();
                    if next_state.silence_count != silence_count {
                        return std::future::pending().await;
                    }
                    if next_state.active_port != self.number {
                        tokio::time::sleep(MOVED_WATCH_GRACE).await;
                    }
                    if !self.is_active() {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    let changed: Vec<Member> =
                        next_state.members.iter().filter(|m| !known.members.contains(m)).cloned().collect();
                    if !changed.is_empty() {
                        latest = self.record_notice(&changed);
                        let written =
                            write_chunk(&mut to_sidecar, &(to_text(&next_state, false, &changed) + "\n"))
                                .await;
                        if written.is_err() {
                            latest.report_lost();
                            return written;
                        }
                    }
                    known = next_state;
                }
            }
        }
    }

    /// Records that the state of these members is sent to the sidecar.
    fn record_notice(&self, members: &[Member]) -> Notice {
        let (at, sidecar) = (now(), self.sidecar);
        for member in members {
            let endpoint = member.endpoint;
            print(&Record::NoticeSent { sidecar, endpoint, at, in_service: member.phase == "in_service" });
        }
        Notice { sidecar, at, endpoints: members.iter().map(|m| m.endpoint).collect() }
    }
}

/// The latest notice written to a sidecar.
struct Notice {
    sidecar: usize,
    at: f64,
    endpoints: Vec<usize>,
}

impl Notice {
    /// Called when the connection has broken; reports the notice as lost if it was written just before.
    fn report_lost(&self) {
        let (sidecar, at) = (self.sidecar, self.at);
        if now() - at <= LOSS_WINDOW_MS {
            self.endpoints
                .iter()
                .for_each(|endpoint| print(&Record::NoticeLost { sidecar, endpoint: *endpoint, at }));
        }
    }
}

/// Queues a call for a while, and then rejects it.
async fn queue_and_reject(mut stream: TcpStream) {
    let called = MessageReader::default().read_message(&mut stream).await;
    if matches!(called, Ok(Some(_))) {
        tokio::time::sleep(QUEUE_TIMEOUT).await;
        // The caller may have closed the connection meanwhile.
        let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
    }
}

fn to_text(state: &Registry, complete: bool, members: &[Member]) -> String {
    let list = to_json(state, complete, members);
    if state.indented {
        serde_json::to_string_pretty(&list).unwrap_or_default()
    } else {
        list.to_string()
    }
}

/// Formats a complete list or a set of changes in the JSON form of discovery.
pub fn to_json(state: &Registry, complete: bool, members: &[Member]) -> Value {
    let entry = |m: &Member| {
        json!({"id": format!("s-{}", m.id), "host_port": format!("127.0.0.1:{}", m.port), "locality": "a",
            "flavor": "m", "cell": m.cell, "phase": m.phase, "size": 1.0, "up_since_ms": m.up_since_ms})
    };
    let is_included = |m: &&Member| !complete || m.phase != "terminated";
    let mut members: Vec<Value> = members.iter().filter(is_included).map(entry).collect();
    if complete {
        members.extend((0..state.listed).map(|number| listed_entry(number, state.listed_port)));
    }
    json!({"revision": state.revision, "complete": complete, "members": members})
}

/// Formats the entry of a listed-only endpoint.
fn listed_entry(number: usize, port: u16) -> Value {
    json!({"id": format!("l-{number}"), "host_port": format!("127.0.0.1:{port}"), "locality": "a", "flavor": "m",
        "cell": LISTED_CELL, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

async fn write_chunk(stream: &mut (impl AsyncWrite + Unpin), text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
