//! Starts of the program while a resource that it needs is not available yet, which it has to wait for, and with a
//! faulty configuration, which has to end it at once.

mod common;

use common::*;
use serde_json::json;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit for a start or an end; longer than a start takes on a busy machine.
const TIME_LIMIT: Duration = Duration::from_secs(15);

/// Starts the program with this text as its configuration; returns the process and the path of the configuration.
fn start(name: &str, text: &str) -> (Child, PathBuf) {
    let path = std::env::temp_dir().join(format!("roseproxy-{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let program =
        Command::new(env!("CARGO_BIN_EXE_roseproxy")).env("LB_CONFIG", &path).stderr(Stdio::null()).spawn();
    (program.expect("the program starts"), path)
}

/// Waits until the program accepts connections, or has ended.
fn accepts_connections(program: &mut Child, port: u16) -> bool {
    let deadline = Instant::now() + TIME_LIMIT;
    while Instant::now() < deadline && program.try_wait().expect("a child").is_none() {
        if TcpStream::connect(("127.0.0.1", port)).is_ok() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

#[test]
fn the_program_waits_for_a_port_that_is_in_use_for_a_moment() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = held.local_addr().expect("bound").port();
    let mut file = config().file;
    file["listen"] = json!(format!("127.0.0.1:{port}"));
    let (mut program, path) = start("held", &file.to_string());
    std::thread::sleep(Duration::from_millis(700));
    let waits = program.try_wait().expect("a child").is_none();
    drop(held);
    let accepts = waits && accepts_connections(&mut program, port);
    let _ = program.kill();
    let _ = program.wait();
    std::fs::remove_file(&path).expect("it is there");
    assert!(waits && accepts, "waits: {waits}, accepts afterwards: {accepts}");
}

#[test]
fn a_faulty_configuration_ends_the_program_at_once() {
    let (mut program, path) = start("faulty", "{\"name\": ");
    let deadline = Instant::now() + TIME_LIMIT;
    let mut status = None;
    while status.is_none() && Instant::now() < deadline {
        status = program.try_wait().expect("a child");
        std::thread::sleep(Duration::from_millis(5));
    }
    let _ = program.kill();
    let _ = program.wait();
    std::fs::remove_file(&path).expect("it is there");
    assert_eq!(status.and_then(|s| s.code()), Some(1));
}

/// The runtime and the handling of signals need descriptors before any other part of the program.
#[test]
fn the_program_waits_while_descriptors_are_exhausted_for_a_moment() {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port").port();
    let mut file = config().file;
    file["listen"] = json!(format!("127.0.0.1:{port}"));
    let path = std::env::temp_dir().join(format!("roseproxy-descriptors-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("written");
    for limit in 4..9 {
        let shell_command = format!("ulimit -Sn {limit}; exec {}", env!("CARGO_BIN_EXE_roseproxy"));
        let mut command = Command::new("sh");
        let mut program = command
            .args(["-c", &shell_command])
            .env("LB_CONFIG", &path)
            .stderr(Stdio::null())
            .spawn()
            .expect("a shell");
        std::thread::sleep(Duration::from_millis(400));
        let waits = program.try_wait().expect("a child").is_none();
        let raised =
            Command::new("prlimit").args(["--nofile=128:", "--pid", &program.id().to_string()]).status();
        let accepts =
            waits && raised.expect("util-linux has it").success() && accepts_connections(&mut program, port);
        let _ = program.kill();
        let _ = program.wait();
        assert!(waits && accepts, "{limit} descriptors: waits: {waits}, accepts afterwards: {accepts}");
    }
    std::fs::remove_file(&path).expect("it is there");
}
