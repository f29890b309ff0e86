//! Faults that coincide with another event: a step of the wall clock before an endpoint starts, and an unreadable
//! configuration file during a reload. Guards against wrong ages of endpoints and against reloads that are lost.

mod common;

use common::faulty::FaultyNetwork;
use common::*;
use roseproxy::Clock;
use roseproxy_decision::interface::Update;
use roseproxy_platform::discovery;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;

/// Step of the wall clock: one hour.
const HOUR_MS: f64 = 3_600_000.0;

/// Time since 1970 (ms).
fn wall_clock() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64() * 1e3
}

/// The clock of a program that started before the wall clock was stepped by `step` (ms).
fn stepped_by(step: f64) -> Clock {
    Clock::System { origin: tokio::time::Instant::now(), epoch: wall_clock() - step }
}

/// Steps the wall clock by `step` (ms) after the start of the sidecar, and has an endpoint start beside a warm one.
/// Waits for `wait`, then sends requests, and returns the share of them that reaches the new endpoint.
async fn request_share_of_new_endpoint(step: f64, warm_up: Duration, wait: Duration) -> f64 {
    const REQUESTS: usize = 150;
    let ((warm, warm_address), (new, new_address)) = (bind_port().await, bind_port().await);
    let config = config_with(|s| s["obligations"]["warm_up"] = json!(warm_up.as_micros() as u64));
    let sidecar =
        start_sidecar_on(FaultyNetwork::default(), config, stepped_by(step), &[warm_address], 20, 20).await;
    let (warm_count, new_count) = (count_requests(warm), count_requests(new));
    let mut change =
        discovery::read(list_json(2, false, &[(new_address, "in_service")]).as_bytes()).expect("a list");
    change.targets[0].started_at = Some(wall_clock());
    sidecar.gateway.targets(Update::Changes, &change.targets);
    tokio::time::sleep(wait).await;
    let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
    for number in 0..REQUESTS {
        exchange(&mut client, &request_text("place-order", &format!("n{number}"), "b")).await;
    }
    new_count.get() as f64 / (new_count.get() + warm_count.get()) as f64
}

#[test]
fn an_endpoint_that_starts_after_the_wall_clock_was_stepped_back_is_cold() {
    run_local(async {
        let share = request_share_of_new_endpoint(-HOUR_MS, Duration::from_secs(60), Duration::ZERO).await;
        // A cold endpoint has an eighth of the capacity of a warm one.
        assert!(share < 0.22, "{share:.2} of the requests reached the cold endpoint");
    });
}

#[test]
fn an_endpoint_that_starts_after_the_wall_clock_was_stepped_forward_warms_up() {
    run_local(async {
        let (warm_up, wait) = (Duration::from_millis(100), Duration::from_millis(400));
        let share = request_share_of_new_endpoint(HOUR_MS, warm_up, wait).await;
        assert!(share > 0.3, "{share:.2} of the requests reached the warm endpoint");
    });
}

/// Starts the program with discovery at this address; returns the process and the path of its configuration.
fn start(name: &str, discovery: SocketAddr) -> (Child, PathBuf) {
    let path = std::env::temp_dir().join(format!("roseproxy-{name}-{}.json", std::process::id()));
    write_config(&path, discovery);
    let program = Command::new(env!("CARGO_BIN_EXE_roseproxy"))
        .env("LB_CONFIG", &path)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    (program, path)
}

fn write_config(path: &PathBuf, discovery: SocketAddr) {
    let mut file = config().file;
    file["listen"] = json!("127.0.0.1:0");
    file["discovery"] = json!(discovery.to_string());
    std::fs::write(path, file.to_string()).expect("written");
}

#[test]
fn a_configuration_that_is_unreadable_for_a_moment_is_applied_afterwards() {
    run_local(async {
        let ((first, first_address), (second, second_address)) = (bind_port().await, bind_port().await);
        let (mut program, path) = start("unreadable", first_address);
        // After its first call the program has started and handles signals.
        let _call = first.accept().await.expect("it calls discovery");
        std::fs::remove_file(&path).expect("it is there");
        std::fs::create_dir(&path).expect("a folder cannot be read");
        let signalled = Command::new("sh").args(["-c", &format!("kill -HUP {}", program.id())]).status();
        assert!(signalled.expect("a shell").success());
        tokio::time::sleep(Duration::from_millis(300)).await;
        std::fs::remove_dir(&path).expect("it is there");
        write_config(&path, second_address);
        let moved = tokio::time::timeout(Duration::from_secs(15), second.accept()).await;
        program.kill().expect("it runs");
        program.wait().expect("it ends");
        std::fs::remove_file(&path).expect("it is there");
        assert!(moved.is_ok(), "discovery is not called at its new address");
    });
}

/// SIGHUP arrives while only half of the new configuration is written. The program has to read the file again by
/// itself, as no second signal follows.
#[test]
fn a_configuration_that_is_half_written_at_the_signal_is_applied_once_it_is_whole() {
    run_local(async {
        let ((first, first_address), (second, second_address)) = (bind_port().await, bind_port().await);
        let (mut program, path) = start("half", first_address);
        let _call = first.accept().await.expect("it calls discovery");
        write_config(&path, second_address);
        let whole = std::fs::read(&path).expect("written");
        std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
        let signalled = Command::new("sh").args(["-c", &format!("kill -HUP {}", program.id())]).status();
        assert!(signalled.expect("a shell").success());
        tokio::time::sleep(Duration::from_millis(300)).await;
        std::fs::write(&path, &whole).expect("written");
        let moved = tokio::time::timeout(Duration::from_secs(15), second.accept()).await;
        program.kill().expect("it runs");
        program.wait().expect("it ends");
        std::fs::remove_file(&path).expect("it is there");
        assert!(moved.is_ok(), "discovery is not called at its new address");
    });
}
