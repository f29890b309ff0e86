//! Signals that come while the program starts, reads its configuration, or ends. The configuration is a pipe: the program
//! stands in the reading of it for as long as the test wants.

mod common;

use common::*;
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// The program's reading of its configuration, which waits for what is written here.
fn reading(pipe: &Path) -> File {
    let (opened, open) = mpsc::channel();
    let pipe = pipe.to_owned();
    std::thread::spawn(move || opened.send(OpenOptions::new().write(true).open(pipe)));
    open.recv_timeout(Duration::from_secs(15)).expect("the program reads").expect("a pipe")
}

fn signal(name: &str, program: &Child) {
    // The shell's own, which is there wherever a shell is.
    let sent = Command::new("sh").args(["-c", &format!("kill {name} {}", program.id())]).status();
    assert!(sent.expect("a shell").success(), "{name}: the program has ended");
}

/// The program, whose configuration is this pipe, and the lines that it says.
fn start(name: &str) -> (PathBuf, Child, impl Iterator<Item = String>) {
    let pipe = std::env::temp_dir().join(format!("roseproxy-{name}-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let mut program = Command::new(env!("CARGO_BIN_EXE_roseproxy"))
        .env("LB_CONFIG", &pipe)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let lines = BufReader::new(program.stderr.take().expect("piped")).lines().map_while(Result::ok);
    (pipe, program, lines)
}

/// A good configuration, at any port.
fn good() -> Vec<u8> {
    let mut file = config().file;
    file["listen"] = json!("127.0.0.1:0");
    file.to_string().into_bytes()
}

/// It starts, serves as long as clients may still come, and ends in order.
#[test]
fn an_end_asked_for_before_the_listener_is_up_is_heeded() {
    let (pipe, mut program, lines) = start("end");
    let mut first = reading(&pipe);
    signal("-TERM", &program);
    first.write_all(&good()).expect("the program lives");
    drop(first);
    let said: Vec<String> = lines.collect();
    assert!(program.wait().expect("it ends").success(), "{said:?}");
    std::fs::remove_file(&pipe).expect("the pipe is there");
    assert!(said.iter().any(|line| line.contains("shutdown complete")), "{said:?}");
}

#[test]
fn signals_that_come_early_twice_and_late_are_heeded() {
    let (pipe, mut program, mut lines) = start("signals");

    // Before it has read anything: it reads again as soon as it serves.
    let mut first = reading(&pipe);
    signal("-HUP", &program);
    first.write_all(&good()).expect("the program lives");
    drop(first);
    // Else the second writing could still meet the first reading.
    assert!(lines.by_ref().any(|line| line.contains("listening on")), "the program lives");
    // In the reload, twice: what it reads changes nothing, and then it ends in order, once.
    let mut again = reading(&pipe);
    signal("-TERM", &program);
    signal("-TERM", &program);
    again.write_all(b"{").expect("the program lives");
    drop(again);
    let said: Vec<String> = lines.by_ref().take_while(|line| !line.contains("shutdown requested")).collect();
    assert!(said.iter().any(|line| line.contains("configuration rejected")), "{said:?}");
    // In the end: neither is looked at any more.
    signal("-HUP", &program);
    signal("-TERM", &program);
    let rest: Vec<String> = lines.collect();
    assert!(program.wait().expect("it ends").success(), "{rest:?}");
    std::fs::remove_file(&pipe).expect("the pipe is there");
    assert!(rest.iter().any(|line| line.contains("shutdown complete")), "{rest:?}");
    assert!(rest.iter().any(|line| line == "reloads_faulty 1"), "{rest:?}");
}
