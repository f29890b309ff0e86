//! The real program before thousands of endpoints, as a process of its own: what it promises holds whatever the fleet's size.
//!
//! All endpoints listen at one address: the list tells them apart, and the test hears of every attempt.

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

/// Config servers of the largest fleets, sidecars beside them, and keys that requests are about.
const ENDPOINTS: usize = 3_200;
const SIDECARS: usize = 300;
const KEYS: usize = 300;
/// Requests, and the time between them: a debug build is some twenty times as slow, and the machine may be busy.
const REQUESTS: usize = 200;
const PAUSE: Duration = Duration::from_millis(30);
/// How long clients wait (ms), and how much longer an answer may take without being lost.
const TIMEOUT: f64 = 500.0;
const LATE: f64 = 500.0;
/// How much more than a client has left an endpoint may be told (ms).
const DEADLINE_SLACK: f64 = 150.0;
/// How long after its client has left an attempt may still begin (ms).
const DEPARTURE_SLACK: f64 = 100.0;
/// How often the test looks how late it runs itself.
const PERIOD: Duration = Duration::from_millis(5);

/// What the test saw of a request; times since the test's start (ms).
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    sent: f64,
    left: Option<f64>,
    answered: Option<f64>,
}

/// An attempt as its endpoint read it.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    whole: f64,
    told: f64,
}

/// What happened, and how late the test ran itself at most (ms): it must not blame the program for that.
struct Scene {
    began: Instant,
    requests: RefCell<HashMap<String, Seen>>,
    attempts: RefCell<Vec<Attempt>>,
    lag: Cell<f64>,
}

impl Scene {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// Measures how late this process runs.
    async fn measure_lag(self: Rc<Self>) {
        loop {
            let due = self.now() + PERIOD.as_secs_f64() * 1e3;
            tokio::time::sleep(PERIOD).await;
            self.lag.set(self.lag.get().max(self.now() - due));
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
        while let Some(text) = message(&mut stream).await {
            let header = |name: &str| {
                let line = text.lines().find(|line| line.to_lowercase().starts_with(name));
                line.and_then(|line| line.split_once(": ")).map(|(_, value)| value.to_owned())
            };
            if let (Some(id), Some(told)) = (header("request-id:"), header("request-timeout:")) {
                let told = told.parse::<f64>().expect("a number of seconds") * 1e3;
                self.attempts.borrow_mut().push(Attempt { id, whole: self.now(), told });
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if stream.write_all(OK.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn ask(self: Rc<Self>, address: SocketAddr, number: usize) {
        let id = format!("n{number}");
        let key = number * 7 % KEYS;
        let Ok(mut client) = TcpStream::connect(address).await else { return };
        let text = format!(
            "GET /quote?obj=k{key} HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nRequest-Class: quote\r\n\
             Request-Timeout: {:.3}\r\n\r\n",
            TIMEOUT / 1e3
        );
        let seen = Seen { sent: self.now(), ..Seen::default() };
        self.requests.borrow_mut().insert(id.clone(), seen);
        if client.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        // Every third client leaves early, each after another while.
        let waits = if number % 3 == 0 { (number * 11 % 120) as f64 } else { TIMEOUT + 4.0 * LATE };
        let heard = tokio::time::timeout(Duration::from_secs_f64(waits / 1e3), message(&mut client)).await;
        drop(client);
        let now = self.now();
        let mut requests = self.requests.borrow_mut();
        let seen = requests.get_mut(&id).expect("asked");
        match heard {
            Ok(answer) => seen.answered = answer.map(|_| now),
            Err(_) => seen.left = Some(now),
        }
    }

    /// Every promise that was broken, in words.
    fn broken(&self) -> Vec<String> {
        let (requests, lag) = (self.requests.borrow(), self.lag.get());
        let mut broken = Vec::new();
        for (id, seen) in requests.iter() {
            let took = seen.answered.unwrap_or(f64::INFINITY) - seen.sent;
            if seen.left.is_none() && took > TIMEOUT + LATE + lag {
                broken.push(format!("{id}: answered after {took:.0} ms"));
            }
        }
        for attempt in self.attempts.borrow().iter() {
            let seen = requests.get(&attempt.id).expect("asked");
            let left = seen.sent + TIMEOUT - attempt.whole;
            if attempt.told > left + DEADLINE_SLACK + lag {
                broken.push(format!("{}: told {:.0} ms, has {left:.0}", attempt.id, attempt.told));
            }
            let gone = attempt.whole - seen.left.unwrap_or(f64::INFINITY);
            if gone > DEPARTURE_SLACK + lag {
                broken.push(format!("{}: an attempt {gone:.0} ms after its client left", attempt.id));
            }
        }
        broken
    }
}

/// The configuration of one of many sidecars before so many endpoints, all at this address.
fn large_fleet(listen: SocketAddr, endpoints: SocketAddr) -> serde_json::Value {
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

/// A process that is ended with the test, whatever comes of that.
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
fn before_thousands_of_endpoints_no_request_is_lost() {
    scene(async {
        let (socket, endpoints) = port().await;
        let (free, address) = port().await;
        drop(free);
        let _program = start(&large_fleet(address, endpoints));
        let began = Instant::now();
        let (requests, attempts) = Default::default();
        let scene = Rc::new(Scene { began, requests, attempts, lag: Cell::new(0.0) });
        spawn_local(scene.clone().serve_endpoints(socket));
        while TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(PERIOD).await;
        }
        spawn_local(scene.clone().measure_lag());
        let mut asking = Vec::new();
        for number in 0..REQUESTS {
            asking.push(spawn_local(scene.clone().ask(address, number)));
            tokio::time::sleep(PAUSE).await;
        }
        for one in asking {
            one.await.expect("no panic");
        }
        let broken = scene.broken();
        let (count, lag) = (broken.len(), scene.lag.get());
        assert!(
            broken.is_empty(),
            "{count} promises broken in {REQUESTS} requests (lag {lag:.0} ms): {:#?}",
            &broken[..count.min(8)]
        );
    });
}
