//! The program as a process of its own in front of thousands of endpoints. Guards against answers and attempts that
//! come too late because the work of the program grows with the size of the list.
//!
//! All endpoints share one address and differ in their ids on the list, so the test sees every attempt.

mod common;

use common::*;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Number of config servers of the largest fleets.
const ENDPOINTS: usize = 3_200;
/// Fleet size in the settings.
const SIDECARS: usize = 300;
/// Number of distinct keys of the requests.
const KEYS: usize = 300;
const REQUESTS: usize = 200;
/// Time between requests: a debug build is some twenty times as slow as a release build, and the machine may be busy.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Timeout of the clients.
const CLIENT_TIMEOUT_MS: f64 = 500.0;
/// Time after its timeout for which an answer still does not count as lost.
const ANSWER_SLACK_MS: f64 = 500.0;
/// Time by which the timeout sent to an endpoint may exceed the time that the client has left.
const TIMEOUT_SLACK_MS: f64 = 150.0;
/// Time after the departure of its client during which an attempt may still begin.
const DEPARTURE_SLACK_MS: f64 = 100.0;
/// Interval at which the test measures how late it runs itself.
const DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What the test observed of a request; times since the start of the test (ms).
#[derive(Clone, Copy, Debug, Default)]
struct RequestRecord {
    sent_at: f64,
    left_at: Option<f64>,
    answered_at: Option<f64>,
}

/// An attempt as its endpoint read it: when it was read whole, and the timeout that it stated (ms).
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    read_at: f64,
    timeout_ms: f64,
}

/// All requests and attempts, and the longest delay of the test process itself (ms), which must not count against the
/// program.
struct Observations {
    started: Instant,
    requests: RefCell<HashMap<String, RequestRecord>>,
    attempts: RefCell<Vec<Attempt>>,
    delay_ms: Cell<f64>,
}

impl Observations {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Measures the longest delay of this process.
    async fn measure_delay(self: Rc<Self>) {
        loop {
            let due = self.now() + DELAY_CHECK_INTERVAL.as_secs_f64() * 1e3;
            tokio::time::sleep(DELAY_CHECK_INTERVAL).await;
            self.delay_ms.set(self.delay_ms.get().max(self.now() - due));
        }
    }

    async fn serve_endpoints(self: Rc<Self>, socket: TcpListener) {
        loop {
            let (stream, _) = socket.accept().await.expect("the sidecar connects");
            spawn_local(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(text) = read_message(&mut stream).await {
            let header = |name: &str| {
                let line = text.lines().find(|line| line.to_lowercase().starts_with(name));
                line.and_then(|line| line.split_once(": ")).map(|(_, value)| value.to_owned())
            };
            if let (Some(id), Some(timeout)) = (header("request-id:"), header("request-timeout:")) {
                let timeout_ms = timeout.parse::<f64>().expect("a number of seconds") * 1e3;
                self.attempts.borrow_mut().push(Attempt { id, read_at: self.now(), timeout_ms });
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if stream.write_all(OK_RESPONSE.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Sends a request as a client, and records its answer or the departure of the client.
    async fn send_request(self: Rc<Self>, address: SocketAddr, number: usize) {
        let id = format!("n{number}");
        let key = number * 7 % KEYS;
        let Ok(mut client) = TcpStream::connect(address).await else { return };
        let text = format!(
            "GET /quote?obj=k{key} HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nRequest-Class: quote\r\n\
             Request-Timeout: {:.3}\r\n\r\n",
            CLIENT_TIMEOUT_MS / 1e3
        );
        let record = RequestRecord { sent_at: self.now(), ..RequestRecord::default() };
        self.requests.borrow_mut().insert(id.clone(), record);
        if client.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        // Every third client leaves early, after times that differ.
        let wait_ms = if number % 3 == 0 {
            (number * 11 % 120) as f64
        } else {
            CLIENT_TIMEOUT_MS + 4.0 * ANSWER_SLACK_MS
        };
        let result =
            tokio::time::timeout(Duration::from_secs_f64(wait_ms / 1e3), read_message(&mut client)).await;
        drop(client);
        let now = self.now();
        let mut requests = self.requests.borrow_mut();
        let record = requests.get_mut(&id).expect("asked");
        match result {
            Ok(answer) => record.answered_at = answer.map(|_| now),
            Err(_) => record.left_at = Some(now),
        }
    }

    /// Descriptions of all violations.
    fn violations(&self) -> Vec<String> {
        let (requests, delay_ms) = (self.requests.borrow(), self.delay_ms.get());
        let mut violations = Vec::new();
        for (id, record) in requests.iter() {
            let took = record.answered_at.unwrap_or(f64::INFINITY) - record.sent_at;
            if record.left_at.is_none() && took > CLIENT_TIMEOUT_MS + ANSWER_SLACK_MS + delay_ms {
                violations.push(format!("{id}: answered after {took:.0} ms"));
            }
        }
        for attempt in self.attempts.borrow().iter() {
            let record = requests.get(&attempt.id).expect("asked");
            let time_left = record.sent_at + CLIENT_TIMEOUT_MS - attempt.read_at;
            if attempt.timeout_ms > time_left + TIMEOUT_SLACK_MS + delay_ms {
                violations.push(format!(
                    "{}: an attempt with a timeout of {:.0} ms, while its client has {time_left:.0} ms left",
                    attempt.id, attempt.timeout_ms
                ));
            }
            let after_departure = attempt.read_at - record.left_at.unwrap_or(f64::INFINITY);
            if after_departure > DEPARTURE_SLACK_MS + delay_ms {
                violations.push(format!(
                    "{}: an attempt {after_departure:.0} ms after its client left",
                    attempt.id
                ));
            }
        }
        violations
    }
}

/// The configuration of one sidecar of a large fleet; all endpoints are at the address `endpoints`.
fn large_fleet_config(listen: SocketAddr, endpoints: SocketAddr) -> serde_json::Value {
    let member = |number: usize| {
        json!({"id": format!("s-{number}"), "host_port": endpoints.to_string(), "locality": "a", "flavor": "m",
            "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<_> = (0..ENDPOINTS).map(member).collect();
    let mut file = config_with(|s| {
        s["fleet_size"] = json!(SIDECARS);
        s["family_info"] = json!({"warm_keys": true});
        for class in s["request_classes"].as_array_mut().expect("classes") {
            (class["aim"], class["give_up"]) = (json!(600_000), json!(1_500_000));
        }
    })
    .file;
    file["listen"] = json!(listen.to_string());
    file["limits"] = json!({"sockets": 512});
    file["known"] = json!({"revision": 1, "complete": true, "members": members});
    file
}

/// A process and its configuration file; both are removed when the test ends, also by a panic.
struct Process(Child, PathBuf);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

fn start(file: &serde_json::Value) -> Process {
    let path = std::env::temp_dir().join(format!("roseproxy-large-fleet-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseproxy"));
    let program = command.env("LB_CONFIG", &path).stderr(Stdio::null()).spawn().expect("the program starts");
    Process(program, path)
}

#[test]
fn with_thousands_of_endpoints_no_answer_or_attempt_is_late() {
    run_local(async {
        let (socket, endpoints) = bind_port().await;
        let (free, address) = bind_port().await;
        drop(free);
        let _program = start(&large_fleet_config(address, endpoints));
        let started = Instant::now();
        let (requests, attempts) = Default::default();
        let observations = Rc::new(Observations { started, requests, attempts, delay_ms: Cell::new(0.0) });
        spawn_local(observations.clone().serve_endpoints(socket));
        while TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(DELAY_CHECK_INTERVAL).await;
        }
        spawn_local(observations.clone().measure_delay());
        let mut clients = Vec::new();
        for number in 0..REQUESTS {
            clients.push(spawn_local(observations.clone().send_request(address, number)));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        for client in clients {
            client.await.expect("no panic");
        }
        let violations = observations.violations();
        let (count, delay_ms) = (violations.len(), observations.delay_ms.get());
        assert!(
            violations.is_empty(),
            "{count} violations in {REQUESTS} requests (delay of the test {delay_ms:.0} ms): {:#?}",
            &violations[..count.min(8)]
        );
    });
}
