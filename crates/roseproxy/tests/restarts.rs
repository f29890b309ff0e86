//! Restarts of processes of a large fleet without a known list, while discovery answers: nine in ten have to be ready
//! within 10 s, and all within 30 s. Guards against first calls to discovery that are spread too far. Time is paused.

mod common;

use common::registry::{LoopbackNetwork, Registry};
use common::*;
use roseproxy::config::Config;
use roseproxy::start::serve;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Fleet size in the settings.
const FLEET_SIZE: usize = 1000;
/// Processes that start together in one round.
const PROCESSES: u64 = 30;
const ROUNDS: u64 = 4;
/// Time after which nine in ten processes are ready.
const MOST_READY_AFTER: Duration = Duration::from_secs(10);
/// Time after which all processes are ready.
const ALL_READY_AFTER: Duration = Duration::from_secs(30);

const READY_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// Number of processes that report that they are ready.
async fn count_ready(listeners: &[SocketAddr]) -> usize {
    let mut count = 0;
    for listener in listeners {
        let mut client = TcpStream::connect(listener).await.expect("it listens");
        count += usize::from(exchange(&mut client, READY_REQUEST).await.starts_with("HTTP/1.1 200"));
    }
    count
}

/// Starts the processes of one round together, and checks how many are ready at each limit.
fn check_restarted_processes(round: u64, mode: &str) {
    run_paused(async {
        let registry = Registry::on_loopback().await;
        // A program ends when the sender of its signals is dropped.
        let mut signal_senders = Vec::new();
        for seed in round * PROCESSES..(round + 1) * PROCESSES {
            let config = config_with(|s| {
                s["discovery"] = json!(mode);
                s["fleet_size"] = json!(FLEET_SIZE);
                s["obligations"]["must_ask_in"] = json!(10_000_000);
            });
            let config = Config { seed, discovery: registry.address, known: None, ..config };
            let (signal_sender, signals) = unbounded_channel();
            signal_senders.push(signal_sender);
            let network = LoopbackNetwork(registry.clone());
            let environment = test_environment(network);
            spawn_local(serve(config, environment, signals, || Err("no reload".into())));
        }
        sleep(MOST_READY_AFTER).await;
        let listeners = registry.listeners();
        assert_eq!(listeners.len() as u64, PROCESSES);
        let ready = count_ready(&listeners).await;
        assert!(ready * 10 >= listeners.len() * 9, "{mode}, {round}: {ready} of {PROCESSES} after 10 s");
        sleep(ALL_READY_AFTER - MOST_READY_AFTER).await;
        assert_eq!(count_ready(&listeners).await, listeners.len(), "{mode}, {round}: after 30 s");
        drop(signal_senders);
    });
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_10_s() {
    for round in 0..ROUNDS {
        check_restarted_processes(round, "on_request");
    }
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_10_s_where_lists_are_pushed() {
    check_restarted_processes(0, "pushed");
}
