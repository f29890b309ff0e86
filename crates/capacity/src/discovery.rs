//! A stand-in for discovery: the whole list and the watch, in the platform's form.
//!
//! It is written for measuring sidecars: it says what it is told to say, and counts what it sends.
//! It keeps no history; a watch begins with no changes and then gets all that is published.

use roseproxy_emulator::http::{answer_bytes, Wire};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;

/// Time between the empty lines of an idle watch.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// Objects that a slow watch may lag behind before it is ended.
const LAG: usize = 8_192;
/// Where the whole list is, and what a watch's path begins with.
const LIST: &str = "/registry/instances";
const WATCH: &str = "/registry/instances?stream=1&index=";

/// What the stand-in has done.
#[derive(Debug, Default)]
pub struct Counts {
    /// Whole lists that were asked for.
    pub lists: AtomicU64,
    /// Watches that were opened.
    pub watches: AtomicU64,
    /// Bytes of answers, heads and chunk framing included, without those of TCP and IP.
    pub bytes: AtomicU64,
}

/// What is published and what is counted; shared with the thread that serves it.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has done.
    pub counts: Arc<Counts>,
    list: Arc<Mutex<Arc<str>>>,
    watches: broadcast::Sender<Arc<str>>,
}

impl Discovery {
    /// A discovery whose whole list is this text.
    pub fn new(address: SocketAddr, list: String) -> Discovery {
        Discovery {
            address,
            counts: Arc::default(),
            list: Arc::new(Mutex::new(list.into())),
            watches: broadcast::Sender::new(LAG),
        }
    }

    /// Replaces the list that whoever asks for a whole one gets.
    pub fn set_list(&self, list: String) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list.into();
    }

    /// Sends an object to all open watches.
    pub fn publish(&self, object: String) {
        // Without a watch there is nobody to hear it, which is no fault.
        let _ = self.watches.send(object.into());
    }

    /// Watches open now.
    pub fn open_watches(&self) -> usize {
        self.watches.receiver_count()
    }

    /// Bytes sent so far.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Accepts connections for as long as it is polled.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let discovery = self.clone();
            tokio::task::spawn_local(async move { discovery.converse(stream).await });
        }
    }

    async fn converse(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(request) = wire.read_request().await {
            if let Some(index) = request.path.strip_prefix(WATCH) {
                return self.watch(&mut wire, index.parse().unwrap_or(0)).await;
            }
            let (status, body): (u16, Arc<str>) = match request.path == LIST {
                true => {
                    self.counts.lists.fetch_add(1, Ordering::Relaxed);
                    (200, self.list.lock().unwrap_or_else(PoisonError::into_inner).clone())
                }
                false => (404, "".into()),
            };
            if !self.write(&mut wire, &answer_bytes(status, &[], body.as_bytes())).await {
                return;
            }
        }
    }

    /// Follows what is published until the connection ends.
    async fn watch<S: AsyncRead + AsyncWrite + Unpin>(&self, wire: &mut Wire<S>, index: u64) {
        let mut published = self.watches.subscribe();
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let nothing = crate::messages::listing(index, false, &[]).to_string();
        if !self.write(wire, head).await || !self.write(wire, &chunk(&nothing)).await {
            return;
        }
        loop {
            let line = tokio::select! {
                biased;
                object = published.recv() => match object {
                    Ok(object) => chunk(&object),
                    // One that lags that far would need a whole list: its watch ends.
                    Err(_) => return,
                },
                more = wire.fill_buffer() => match more {
                    Ok(true) => continue,
                    _ => return,
                },
                () = tokio::time::sleep(HEARTBEAT) => chunk(""),
            };
            if !self.write(wire, &line).await {
                return;
            }
        }
    }

    async fn write<S: AsyncRead + AsyncWrite + Unpin>(&self, wire: &mut Wire<S>, bytes: &[u8]) -> bool {
        self.counts.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        wire.write(bytes).await.is_ok()
    }
}

/// A line of a watch as one chunk.
pub fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
