//! Faults that cross: a step of the wall clock with the start of an endpoint, an unreadable file with a reload.

mod common;

use common::faulty::Faulty;
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

/// An hour (ms), by which wall clocks are stepped here.
const HOUR: f64 = 3_600_000.0;

fn wall_clock() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64() * 1e3
}

/// The clock of a program that started before the wall clock was stepped by this much (ms).
fn stepped_by(step: f64) -> Clock {
    Clock::System { origin: tokio::time::Instant::now(), origin_ms: wall_clock() - step }
}

/// Of so many requests the part that goes to an endpoint that starts as they begin, beside a warm one, where the wall
/// clock was stepped after the sidecar's start; after `wait` they begin.
async fn part_of_a_new_endpoint(step: f64, warm_up: Duration, wait: Duration) -> f64 {
    const REQUESTS: usize = 150;
    let ((warm, warm_address), (new, new_address)) = (port().await, port().await);
    let config = config_with(|s| s["obligations"]["warm_up"] = json!(warm_up.as_micros() as u64));
    let sidecar = sidecar_on(Faulty::default(), config, stepped_by(step), &[warm_address], 20, 20).await;
    let (of_warm, of_new) = (count_requests(warm), count_requests(new));
    let mut news =
        discovery::read(list(2, false, &[(new_address, "in_service")]).as_bytes()).expect("a list");
    news.targets[0].started_at = Some(wall_clock());
    sidecar.gateway.targets(Update::Changes, &news.targets);
    tokio::time::sleep(wait).await;
    let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
    for number in 0..REQUESTS {
        ask(&mut client, &request("place-order", &format!("n{number}"), "b")).await;
    }
    of_new.get() as f64 / (of_new.get() + of_warm.get()) as f64
}

#[test]
fn an_endpoint_that_starts_after_the_wall_clock_was_stepped_back_is_cold() {
    scene(async {
        let part = part_of_a_new_endpoint(-HOUR, Duration::from_secs(60), Duration::ZERO).await;
        // A cold one bears an eighth of what a warm one does.
        assert!(part < 0.22, "{part:.2} of the requests");
    });
}

#[test]
fn an_endpoint_that_starts_after_the_wall_clock_was_stepped_forward_gets_warm() {
    scene(async {
        let (warm_up, wait) = (Duration::from_millis(100), Duration::from_millis(400));
        let part = part_of_a_new_endpoint(HOUR, warm_up, wait).await;
        assert!(part > 0.3, "{part:.2} of the requests");
    });
}

/// The program with a configuration whose discovery is at this address, and the lines that it says.
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
fn a_configuration_that_cannot_be_read_for_a_moment_is_taken_over_afterwards() {
    scene(async {
        let ((first, first_address), (second, second_address)) = (port().await, port().await);
        let (mut program, path) = start("unreadable", first_address);
        // It has started, and catches signals.
        let _call = first.accept().await.expect("it calls discovery");
        std::fs::remove_file(&path).expect("it is there");
        std::fs::create_dir(&path).expect("a folder cannot be read");
        let told = Command::new("sh").args(["-c", &format!("kill -HUP {}", program.id())]).status();
        assert!(told.expect("a shell").success());
        tokio::time::sleep(Duration::from_millis(300)).await;
        std::fs::remove_dir(&path).expect("it is there");
        write_config(&path, second_address);
        let moved = tokio::time::timeout(Duration::from_secs(15), second.accept()).await;
        program.kill().expect("it runs");
        program.wait().expect("it ends");
        std::fs::remove_file(&path).expect("it is there");
        assert!(moved.is_ok(), "discovery is not called where it has moved to");
    });
}

/// A new configuration is written in two parts, and the signal comes between them: it is read again by itself, as nobody
/// will say once more that it was replaced.
#[test]
fn a_configuration_that_is_half_written_at_the_signal_is_taken_over_once_it_is_whole() {
    scene(async {
        let ((first, first_address), (second, second_address)) = (port().await, port().await);
        let (mut program, path) = start("half", first_address);
        let _call = first.accept().await.expect("it calls discovery");
        write_config(&path, second_address);
        let whole = std::fs::read(&path).expect("written");
        std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
        let told = Command::new("sh").args(["-c", &format!("kill -HUP {}", program.id())]).status();
        assert!(told.expect("a shell").success());
        tokio::time::sleep(Duration::from_millis(300)).await;
        std::fs::write(&path, &whole).expect("written");
        let moved = tokio::time::timeout(Duration::from_secs(15), second.accept()).await;
        program.kill().expect("it runs");
        program.wait().expect("it ends");
        std::fs::remove_file(&path).expect("it is there");
        assert!(moved.is_ok(), "discovery is not called where it has moved to");
    });
}
