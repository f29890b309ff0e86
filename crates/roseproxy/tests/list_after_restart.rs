//! Symptom: after a zone was lost and its sidecars had started anew, requests went to endpoints that had drained or gone
//! longer ago than the grace allows: 119 and 92 times in two plays of one run, in a fleet of 300.
//!
//! Sequence: a sidecar is killed, endpoints leave the list, and the sidecar starts again on the list that it had before.
//! It says at once that it is ready, and serves on that list until its first call to discovery.
//!
//! Cause: that call was spread over up to nine seconds, but a change counts as told after six; and nothing bounded how
//! long a list may be used without a word from discovery.
//!
//! Settled by the logs of such a run: 'kept_list revision=0 endpoints=165' at 512158, 'call_started after_revision=0' only
//! at 520024, 'list_taken revision=5 complete=false entries=37' 5 ms later. Of 74 restarted sidecars 20 made their first
//! call later than the term and the grace after the first change. In another run no process that had not been restarted
//! used removed endpoints late.

mod common;

use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Sidecars that the settings state: first calls are spread by the fleet's size.
const FLEET: usize = 300;
const PROCESSES: u64 = 8;
/// Requests that each application sends once its sidecar is ready, and the pause between them.
const REQUESTS: usize = 150;
const PAUSE: Duration = Duration::from_millis(10);

const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// A process, which ends with the test.
struct Process {
    child: Child,
    config: PathBuf,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Starts a sidecar on a list that was kept from before, in which these endpoints are in service.
async fn restart(seed: u64, discovery: SocketAddr, kept: &[SocketAddr]) -> Process {
    let (socket, address) = port().await;
    drop(socket);
    let in_service: Vec<_> = kept.iter().map(|endpoint| (*endpoint, "in_service")).collect();
    let mut file = quick().file;
    file["listen"] = json!(address.to_string());
    file["discovery"] = json!(discovery.to_string());
    file["seed"] = json!(format!("{seed:x}"));
    file["known"] = serde_json::from_str(&list(1, true, &in_service)).expect("a list");
    file["settings"]["fleet_size"] = json!(FLEET);
    file["settings"]["obligations"]["must_ask_in"] = json!(10_000_000);
    let config = std::env::temp_dir().join(format!("roseproxy-kept-{seed}-{}.json", std::process::id()));
    std::fs::write(&config, file.to_string()).expect("written");
    let child = Command::new(env!("CARGO_BIN_EXE_roseproxy"))
        .env("LB_CONFIG", &config)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    Process { child, config, address }
}

/// A discovery that tells every watch that an endpoint has gone, and keeps the watch open.
async fn tells_that_it_is_gone(socket: TcpListener, endpoint: SocketAddr) {
    loop {
        let mut stream = open_watch(&socket).await;
        spawn_local(async move {
            let mut text = list(2, false, &[(endpoint, "terminated")]) + "\n";
            while chunk(&mut stream, &text).await.is_ok() {
                sleep(Duration::from_secs(2)).await;
                text = "\n".into();
            }
        });
    }
}

/// Connects once the sidecar says that it is ready.
async fn connect_once_ready(sidecar: SocketAddr) -> TcpStream {
    loop {
        if let Ok(mut client) = TcpStream::connect(sidecar).await {
            if ask(&mut client, READY).await.starts_with("HTTP/1.1 200") {
                return client;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Sends requests one after another as soon as the sidecar says that it is ready.
async fn application(sidecar: SocketAddr) {
    let mut client = connect_once_ready(sidecar).await;
    for number in 0..REQUESTS {
        let answer = ask(&mut client, &request("quote", &format!("{}-{number}", sidecar.port()), "")).await;
        assert!(["HTTP/1.1 200", "HTTP/1.1 503"].iter().any(|status| answer.starts_with(status)), "{answer}");
        sleep(PAUSE).await;
    }
}

#[test]
fn a_restarted_sidecar_sends_nothing_to_endpoints_that_left_meanwhile() {
    scene(async {
        let ((socket, discovery), (gone, removed), (there, stays)) =
            (port().await, port().await, port().await);
        let (at_removed, at_staying) = (count_requests(gone), count_requests(there));
        spawn_local(tells_that_it_is_gone(socket, removed));
        let mut processes = Vec::new();
        for seed in 1..=PROCESSES {
            processes.push(restart(seed, discovery, &[removed, stays]).await);
        }
        let applications: Vec<_> = processes.iter().map(|p| spawn_local(application(p.address))).collect();
        for application in applications {
            application.await.expect("every request is answered");
        }
        assert_eq!(at_removed.get(), 0, "requests to the endpoint that is gone");
        assert!(at_staying.get() > REQUESTS, "{} requests to the endpoint that stays", at_staying.get());
    });
}
