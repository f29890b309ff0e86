//! Signals that arrive while the program starts, reads its configuration, or shuts down. The tests guard against
//! signals that are lost or end the program at once. The configuration is a named pipe, so that the program blocks in
//! reading it until the test writes to it.

mod common;

use common::*;
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Waits until the program reads its configuration, and returns the writing end of the pipe.
fn open_for_writing(pipe: &Path) -> File {
    let (sender, opened) = mpsc::channel();
    let pipe = pipe.to_owned();
    std::thread::spawn(move || sender.send(OpenOptions::new().write(true).open(pipe)));
    opened.recv_timeout(Duration::from_secs(15)).expect("the program reads").expect("a pipe")
}

fn signal(name: &str, program: &Child) {
    // `kill` is a shell builtin, so it needs no program beside the shell.
    let sent = Command::new("sh").args(["-c", &format!("kill {name} {}", program.id())]).status();
    assert!(sent.expect("a shell").success(), "{name}: the program has ended");
}

/// Starts the program with a named pipe as its configuration; returns the pipe, the process, and its log lines.
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

/// A valid configuration that listens at any free port.
fn valid_config() -> Vec<u8> {
    let mut file = config().file;
    file["listen"] = json!("127.0.0.1:0");
    file.to_string().into_bytes()
}

/// The program starts, serves for as long as clients may still connect, and ends in order.
#[test]
fn a_sigterm_before_the_listener_is_up_ends_the_program_in_order() {
    let (pipe, mut program, lines) = start("end");
    let mut first_config = open_for_writing(&pipe);
    signal("-TERM", &program);
    first_config.write_all(&valid_config()).expect("the program lives");
    drop(first_config);
    let log_lines: Vec<String> = lines.collect();
    assert!(program.wait().expect("it ends").success(), "{log_lines:?}");
    std::fs::remove_file(&pipe).expect("the pipe is there");
    assert!(log_lines.iter().any(|line| line.contains("ends after")), "{log_lines:?}");
}

#[test]
fn signals_during_start_reload_and_shutdown_are_handled() {
    let (pipe, mut program, mut lines) = start("signals");

    // SIGHUP before the program has read anything: it reads the configuration again as soon as it serves.
    let mut first_config = open_for_writing(&pipe);
    signal("-HUP", &program);
    first_config.write_all(&valid_config()).expect("the program lives");
    drop(first_config);
    // Without this wait the second write could still reach the first read.
    assert!(lines.by_ref().any(|line| line.contains("listens at")), "the program lives");
    // SIGTERM twice during a reload: the faulty configuration changes nothing, and then the program ends in order,
    // once.
    let mut second_config = open_for_writing(&pipe);
    signal("-TERM", &program);
    signal("-TERM", &program);
    second_config.write_all(b"{").expect("the program lives");
    drop(second_config);
    let log_lines: Vec<String> = lines.by_ref().take_while(|line| !line.contains("told to end")).collect();
    assert!(log_lines.iter().any(|line| line.contains("configuration not taken over")), "{log_lines:?}");
    // Signals during the shutdown have no effect.
    signal("-HUP", &program);
    signal("-TERM", &program);
    let remaining_lines: Vec<String> = lines.collect();
    assert!(program.wait().expect("it ends").success(), "{remaining_lines:?}");
    std::fs::remove_file(&pipe).expect("the pipe is there");
    assert!(remaining_lines.iter().any(|line| line.contains("ends after")), "{remaining_lines:?}");
    assert!(remaining_lines.iter().any(|line| line == "reloads_faulty 1"), "{remaining_lines:?}");
}
