//! Processes of a large fleet that start anew with no known list, while discovery answers: nine in ten are ready within
//! 10 s, and all within 30 s. Time is paused.

mod common;

use common::registry::{Loopback, Registry};
use common::*;
use roseproxy::config::Config;
use roseproxy::serve::serve;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Sidecars that the settings state.
const FLEET: usize = 1000;
/// Processes that start in one scene, and scenes.
const PROCESSES: u64 = 30;
const SCENES: u64 = 4;
/// By when nine in ten are ready, and by when all.
const MOST: Duration = Duration::from_secs(10);
const ALL: Duration = Duration::from_secs(30);

const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// Processes that say that they are ready.
async fn ready(listeners: &[SocketAddr]) -> usize {
    let mut count = 0;
    for listener in listeners {
        let mut client = TcpStream::connect(listener).await.expect("it listens");
        count += usize::from(ask(&mut client, READY).await.starts_with("HTTP/1.1 200"));
    }
    count
}

/// Starts the processes of one scene at once, and looks how many are ready.
fn processes_are_ready(scene: u64, mode: &str) {
    timeless(async {
        let registry = Registry::on_loopback().await;
        let mut endings = Vec::new();
        for seed in scene * PROCESSES..(scene + 1) * PROCESSES {
            let config = config_with(|s| {
                s["discovery"] = json!(mode);
                s["fleet_size"] = json!(FLEET);
                s["obligations"]["must_ask_in"] = json!(10_000_000);
            });
            let config = Config { seed, discovery: registry.address, known: None, ..config };
            let (ending, asked) = unbounded_channel();
            endings.push(ending);
            let network = Loopback(registry.clone());
            let around = surroundings(network);
            spawn_local(serve(config, around, asked, || Err("no reload".into())));
        }
        sleep(MOST).await;
        let listeners = registry.listeners();
        assert_eq!(listeners.len() as u64, PROCESSES);
        let most = ready(&listeners).await;
        assert!(most * 10 >= listeners.len() * 9, "{mode}, {scene}: {most} of {PROCESSES} after 10 s");
        sleep(ALL - MOST).await;
        assert_eq!(ready(&listeners).await, listeners.len(), "{mode}, {scene}: after 30 s");
        drop(endings);
    });
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_10_s() {
    for scene in 0..SCENES {
        processes_are_ready(scene, "on_request");
    }
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_10_s_where_lists_are_pushed() {
    processes_are_ready(0, "pushed");
}
