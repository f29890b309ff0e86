//! A stand-in for discovery that serves the whole list and the watch in the platform's form.
//!
//! It serves measurements of sidecars: it publishes the objects it is given and counts what it sends. It
//! keeps no history: a watch begins with an empty change and then receives everything that is published.

use roseproxy_emulator::http::{answer_bytes, Wire};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;

/// Time between the empty lines (heartbeats) of an idle watch.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of objects that a slow watch may lag behind before it is closed.
const MAX_WATCH_LAG: usize = 8_192;
/// Path of the whole list.
const LIST_PATH: &str = "/registry/instances";
/// Path of a watch, up to the revision that it continues from.
const WATCH_PATH_PREFIX: &str = "/registry/instances?stream=1&index=";

/// Counts of what the stand-in has served.
#[derive(Debug, Default)]
pub struct Counts {
    /// Whole lists requested.
    pub lists: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
    /// Bytes of answers, including heads and chunk framing, without TCP and IP headers.
    pub bytes: AtomicU64,
}

/// A handle to the stand-in: publishes lists and reads counts. It is shared with the thread that serves.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
    /// Counts of what it has served.
    pub counts: Arc<Counts>,
    list: Arc<Mutex<Arc<str>>>,
    watches: broadcast::Sender<Arc<str>>,
}

impl Discovery {
    /// Creates a stand-in with this whole list, in JSON.
    pub fn new(address: SocketAddr, list: String) -> Discovery {
        Discovery {
            address,
            counts: Arc::default(),
            list: Arc::new(Mutex::new(list.into())),
            watches: broadcast::Sender::new(MAX_WATCH_LAG),
        }
    }

    /// Replaces the whole list.
    pub fn set_list(&self, list: String) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list.into();
    }

    /// Sends an object to all open watches.
    pub fn publish(&self, object: String) {
        // Sending fails if no watch is open, which is not an error.
        let _ = self.watches.send(object.into());
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> usize {
        self.watches.receiver_count()
    }

    /// Returns the number of bytes sent so far.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Accepts connections for as long as the future is polled.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let discovery = self.clone();
            tokio::task::spawn_local(async move { discovery.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(request) = wire.read_request().await {
            if let Some(index) = request.path.strip_prefix(WATCH_PATH_PREFIX) {
                return self.serve_watch(&mut wire, index.parse().unwrap_or(0)).await;
            }
            let (status, body): (u16, Arc<str>) = match request.path == LIST_PATH {
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

    /// Sends everything that is published until the connection ends.
    async fn serve_watch<S: AsyncRead + AsyncWrite + Unpin>(&self, wire: &mut Wire<S>, index: u64) {
        let mut published = self.watches.subscribe();
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let empty_change = crate::messages::list_message(index, false, &[]).to_string();
        if !self.write(wire, head).await || !self.write(wire, &watch_chunk(&empty_change)).await {
            return;
        }
        loop {
            let line = tokio::select! {
                biased;
                object = published.recv() => match object {
                    Ok(object) => watch_chunk(&object),
                    // A watch that lags this far would need a whole list, so it is closed.
                    Err(_) => return,
                },
                more = wire.fill_buffer() => match more {
                    Ok(true) => continue,
                    _ => return,
                },
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => watch_chunk(""),
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

/// Encodes one line of a watch as an HTTP chunk.
pub fn watch_chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
