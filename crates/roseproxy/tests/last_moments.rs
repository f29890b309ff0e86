//! The last moments before the platform's kill: whatever comes has its answer before the process ends. Time is paused.

mod common;

use common::*;
use roseproxy::config::Config;
use roseproxy::signals::Control;
use roseproxy_transport::network::Tcp;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// When the kill comes after SIGTERM with these settings, and when the process ends before it (ms).
const KILL: u64 = 1_600;
const ENDS_BEFORE: u64 = 30;

#[test]
fn what_is_asked_in_the_last_moments_is_answered_before_the_end() {
    for before_the_end in [2, 9, 16, 21, 33] {
        timeless(async {
            let (_hangs, target) = port().await;
            let config = config_with(|s| {
                for class in s["request_classes"].as_array_mut().expect("classes") {
                    class["give_up"] = json!(900_000);
                }
            });
            let config: Config = at_port(config, &[target]).await;
            let address = config.listen;
            let (ended, ask) = program(Tcp, config);
            turns().await;
            ask.send(Control::Shutdown).expect("it runs");
            turns().await;
            // One that hangs, so that the process does not end sooner.
            sleep(Duration::from_millis(600)).await;
            let mut hangs = asks(address, &request("place-order", "hangs", "a")).await;
            sleep(Duration::from_millis(KILL - ENDS_BEFORE - 600 - before_the_end)).await;
            let last = spawn_local(async move {
                let mut client = TcpStream::connect(address).await.ok()?;
                Some(try_ask(&mut client, &request("place-order", "last", "a")).await)
            });
            let counts = ended.await.expect("no panic").expect("ends in order");
            assert!(message(&mut hangs).await.is_some(), "{before_the_end}: what hangs is answered");
            // One that came too late to be read is sent once more elsewhere; one that was read is answered.
            let answer = last.await.expect("no panic").flatten();
            let taken = counts.contains("flows_taken 2\n");
            assert!(!taken || answer.is_some(), "{before_the_end} ms before the end: taken and not answered");
            assert!(counts.contains("violations_open_at_exit 0\n"), "{before_the_end}: {counts}");
        });
    }
}

/// The real program, as only a process's end ends all of it: clients ask on new connections one after the other, up to the
/// very end; each sends one request.
#[test]
fn requests_that_come_up_to_the_very_end_are_answered_or_not_taken() {
    const DEADLINE: u64 = 300;
    /// When clients begin, after SIGTERM (ms): requests that are open are answered as failed a little later.
    const FIRST: u64 = 800;
    const APART: Duration = Duration::from_millis(2);
    scene(async {
        let (_hangs, target) = port().await;
        let config = config_with(|s| {
            for class in s["request_classes"].as_array_mut().expect("classes") {
                class["give_up"] = json!(DEADLINE * 1_000);
            }
        });
        let (free, address) = port().await;
        drop(free);
        let mut file = config.file;
        file["listen"] = json!(address.to_string());
        file["known"] = serde_json::from_str(&list(1, true, &[(target, "in_service")])).expect("a list");
        let folder = std::env::temp_dir();
        let [path, log] =
            ["json", "log"].map(|e| folder.join(format!("last-moments-{}.{e}", std::process::id())));
        std::fs::write(&path, file.to_string()).expect("written");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_roseproxy"));
        let output = std::fs::File::create(&log).expect("a log");
        let mut program = command.env("LB_CONFIG", &path).stderr(output).spawn().expect("the program starts");
        until("it listens", || std::net::TcpStream::connect(address).is_ok()).await;
        let kill = format!("kill -TERM {}", program.id());
        std::process::Command::new("sh").args(["-c", &kill]).status().expect("a shell");
        // Sooner they would teach the program that the endpoint hangs, and be refused at once.
        let hangs = spawn_local(async move {
            let mut client = TcpStream::connect(address).await.expect("connects");
            try_ask(&mut client, &request("place-order", "hangs", "a")).await
        });
        sleep(Duration::from_millis(FIRST)).await;
        let mut asked = vec![hangs];
        while program.try_wait().expect("a child").is_none() {
            let number = asked.len();
            asked.push(spawn_local(async move {
                let mut client = TcpStream::connect(address).await.ok()?;
                try_ask(&mut client, &request("place-order", &format!("n{number}"), "a")).await
            }));
            sleep(APART).await;
        }
        let mut answered = 0;
        for one in asked {
            answered += u64::from(one.await.expect("no panic").is_some());
        }
        let counts = std::fs::read_to_string(&log).expect("the log");
        let of = |name: &str| {
            let line = counts.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|count| count.trim().parse::<u64>().ok()).expect("counted")
        };
        let taken = of("flows_taken ");
        assert!(taken > 10, "{taken} were taken");
        assert_eq!(of("violations_open_at_exit "), 0, "requests were open at the exit");
        assert!(answered >= taken, "{taken} taken, {answered} answered");
        [path, log].iter().for_each(|path| std::fs::remove_file(path).expect("there"));
    });
}
