//! The log cannot be written: the disk is full, or nobody reads the pipe. The program starts, serves and ends all the same.

mod common;

use common::*;
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than a start takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(15);
/// Makes an open and its writes fail in place of waiting (Linux: `O_NONBLOCK`).
const NON_BLOCKING: i32 = 0o4000;

/// The program with this standard error, its address, and its configuration.
fn start(name: &str, log: File) -> (Child, u16, PathBuf) {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port").port();
    let mut file = config().file;
    file["listen"] = json!(format!("127.0.0.1:{port}"));
    let path = std::env::temp_dir().join(format!("roseproxy-{name}-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("written");
    let program = Command::new(env!("CARGO_BIN_EXE_roseproxy"))
        .env("LB_CONFIG", &path)
        .env("LB_EVENT_LOG", "1")
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the program starts");
    (program, port, path)
}

/// Asks for the counters until an answer comes.
fn answers(program: &mut Child, port: u16) -> bool {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until && program.try_wait().expect("a child").is_none() {
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) {
            stream.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
            let asked =
                stream.write_all(b"GET /health/counters HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            let mut answer = String::new();
            if asked.is_ok() && stream.read_to_string(&mut answer).is_ok() && answer.contains("flows_taken") {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// It answers, takes a new configuration, answers again, and ends in order.
fn serves_and_ends(name: &str, log: File) {
    let (mut program, port, path) = start(name, log);
    let signal = |name: &str, program: &Child| {
        Command::new("sh").args(["-c", &format!("kill {name} {}", program.id())]).status().expect("a shell")
    };
    let first = answers(&mut program, port);
    signal("-HUP", &program);
    let second = first && answers(&mut program, port);
    signal("-TERM", &program);
    let until = Instant::now() + PATIENCE;
    let mut status = None;
    while status.is_none() && Instant::now() < until {
        status = program.try_wait().expect("a child");
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = program.kill();
    let _ = program.wait();
    std::fs::remove_file(&path).expect("the configuration is there");
    assert!(first && second, "{name}: it answers: at first {first}, after a reload {second}");
    assert!(status.is_some_and(|s| s.success()), "{name}: it ends with {status:?}");
}

#[test]
fn a_log_on_a_full_disk_ends_nothing() {
    serves_and_ends("full", OpenOptions::new().write(true).open("/dev/full").expect("Linux has it"));
}

#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let pipe = std::env::temp_dir().join(format!("roseproxy-unread-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let _reader = OpenOptions::new().read(true).custom_flags(NON_BLOCKING).open(&pipe).expect("a pipe");
    let mut filler = OpenOptions::new().write(true).custom_flags(NON_BLOCKING).open(&pipe).expect("read");
    while filler.write(&[b'x'; 4096]).is_ok() {}
    let log = OpenOptions::new().write(true).open(&pipe).expect("read");
    std::fs::remove_file(&pipe).expect("the pipe is there");
    serves_and_ends("unread", log);
}

#[test]
fn a_log_whose_reader_has_gone_ends_nothing() {
    let pipe = std::env::temp_dir().join(format!("roseproxy-closed-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let reader = OpenOptions::new().read(true).custom_flags(NON_BLOCKING).open(&pipe).expect("a pipe");
    let log = OpenOptions::new().write(true).open(&pipe).expect("read");
    drop(reader);
    std::fs::remove_file(&pipe).expect("the pipe is there");
    serves_and_ends("closed", log);
}
