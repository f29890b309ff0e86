//! A log that cannot be written: its disk is full, its pipe is not read, or its reader has gone. The program has to
//! start, serve, reload and end all the same.

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

/// Limit for a start, an answer or an end; longer than a start takes on a busy machine.
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Makes opening a pipe and writing to it fail instead of block (`O_NONBLOCK` on Linux).
const O_NONBLOCK: i32 = 0o4000;

/// Starts the program with `log` as its standard error; returns the process, its port, and the path of its
/// configuration.
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

/// Requests the counters until an answer comes, the program ends, or the time limit is over.
fn answers_request(program: &mut Child, port: u16) -> bool {
    let deadline = Instant::now() + TIME_LIMIT;
    while Instant::now() < deadline && program.try_wait().expect("a child").is_none() {
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) {
            stream.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
            let written =
                stream.write_all(b"GET /health/counters HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            let mut answer = String::new();
            if written.is_ok() && stream.read_to_string(&mut answer).is_ok() && answer.contains("flows_taken")
            {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Checks that the program answers, handles a reload, answers again, and ends in order.
fn check_serves_and_ends(name: &str, log: File) {
    let (mut program, port, path) = start(name, log);
    let signal = |name: &str, program: &Child| {
        Command::new("sh").args(["-c", &format!("kill {name} {}", program.id())]).status().expect("a shell")
    };
    let first = answers_request(&mut program, port);
    signal("-HUP", &program);
    let second = first && answers_request(&mut program, port);
    signal("-TERM", &program);
    let deadline = Instant::now() + TIME_LIMIT;
    let mut status = None;
    while status.is_none() && Instant::now() < deadline {
        status = program.try_wait().expect("a child");
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = program.kill();
    let _ = program.wait();
    std::fs::remove_file(&path).expect("the configuration is there");
    assert!(first && second, "{name}: answers at first: {first}, after a reload: {second}");
    assert!(status.is_some_and(|s| s.success()), "{name}: the program ends with {status:?}");
}

#[test]
fn the_program_survives_a_log_on_a_full_disk() {
    check_serves_and_ends("full", OpenOptions::new().write(true).open("/dev/full").expect("Linux has it"));
}

#[test]
fn the_program_is_not_blocked_by_a_log_pipe_that_is_not_read() {
    let pipe = std::env::temp_dir().join(format!("roseproxy-unread-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let _reader = OpenOptions::new().read(true).custom_flags(O_NONBLOCK).open(&pipe).expect("a pipe");
    let mut filler = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(&pipe).expect("read");
    while filler.write(&[b'x'; 4096]).is_ok() {}
    let log = OpenOptions::new().write(true).open(&pipe).expect("read");
    std::fs::remove_file(&pipe).expect("the pipe is there");
    check_serves_and_ends("unread", log);
}

#[test]
fn the_program_survives_a_log_pipe_whose_reader_has_gone() {
    let pipe = std::env::temp_dir().join(format!("roseproxy-closed-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let reader = OpenOptions::new().read(true).custom_flags(O_NONBLOCK).open(&pipe).expect("a pipe");
    let log = OpenOptions::new().write(true).open(&pipe).expect("read");
    drop(reader);
    std::fs::remove_file(&pipe).expect("the pipe is there");
    check_serves_and_ends("closed", log);
}
