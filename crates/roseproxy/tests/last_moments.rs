//! Requests that arrive just before a process that got SIGTERM ends. The tests guard against requests that are
//! accepted and not answered before the process exits, which it does shortly before the platform kills it. The first test
//! pauses time.

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

/// Time from SIGTERM until the platform kills the process, with the settings of these tests.
const KILL_MS: u64 = 1_600;
/// Time from the end of the process until the platform would kill it.
const EXIT_BEFORE_KILL_MS: u64 = 30;

#[test]
fn requests_just_before_the_exit_are_answered() {
    for ms_before_exit in [2, 9, 16, 21, 33] {
        run_paused(async {
            let (_hangs, target) = bind_port().await;
            let config = config_with(|s| {
                for class in s["request_classes"].as_array_mut().expect("classes") {
                    class["give_up"] = json!(900_000);
                }
            });
            let config: Config = config_at_free_port(config, &[target]).await;
            let address = config.listen;
            let (program_task, signals) = start_program(Tcp, config);
            run_ready_tasks().await;
            signals.send(Control::Shutdown).expect("the program runs");
            run_ready_tasks().await;
            // A request that hangs keeps the process from ending sooner.
            sleep(Duration::from_millis(600)).await;
            let mut hangs = connect_and_send(address, &request_text("place-order", "hangs", "a")).await;
            sleep(Duration::from_millis(KILL_MS - EXIT_BEFORE_KILL_MS - 600 - ms_before_exit)).await;
            let last = spawn_local(async move {
                let mut client = TcpStream::connect(address).await.ok()?;
                Some(try_exchange(&mut client, &request_text("place-order", "last", "a")).await)
            });
            let counts = program_task.await.expect("no panic").expect("ends in order");
            assert!(
                read_message(&mut hangs).await.is_some(),
                "{ms_before_exit}: the request that hangs is answered"
            );
            // A request that comes too late to be read can be sent again elsewhere; one that was read has to be
            // answered.
            let answer = last.await.expect("no panic").flatten();
            let accepted = counts.contains("flows_taken 2\n");
            assert!(
                !accepted || answer.is_some(),
                "{ms_before_exit} ms before the end: taken and not answered"
            );
            assert!(counts.contains("violations_open_at_exit 0\n"), "{ms_before_exit}: {counts}");
        });
    }
}

/// Runs the program as a process, as only the exit of a process closes all its connections. Clients send one request
/// each on new connections, one after the other, until the process has ended.
#[test]
fn requests_up_to_the_exit_of_the_process_are_answered_or_not_taken() {
    const TIMEOUT_MS: u64 = 300;
    /// Time from SIGTERM to the first of these requests; open requests are answered as failed a little later.
    const FIRST_REQUEST_AFTER_MS: u64 = 800;
    const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
    run_local(async {
        let (_hangs, target) = bind_port().await;
        let config = config_with(|s| {
            for class in s["request_classes"].as_array_mut().expect("classes") {
                class["give_up"] = json!(TIMEOUT_MS * 1_000);
            }
        });
        let (free, address) = bind_port().await;
        drop(free);
        let mut file = config.file;
        file["listen"] = json!(address.to_string());
        file["known"] = serde_json::from_str(&list_json(1, true, &[(target, "in_service")])).expect("a list");
        let folder = std::env::temp_dir();
        let [path, log] = ["json", "log"]
            .map(|extension| folder.join(format!("last-moments-{}.{extension}", std::process::id())));
        std::fs::write(&path, file.to_string()).expect("written");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_roseproxy"));
        let output = std::fs::File::create(&log).expect("a log");
        let mut program = command.env("LB_CONFIG", &path).stderr(output).spawn().expect("the program starts");
        wait_until("it listens", || std::net::TcpStream::connect(address).is_ok()).await;
        let kill = format!("kill -TERM {}", program.id());
        std::process::Command::new("sh").args(["-c", &kill]).status().expect("a shell");
        // Requests sent earlier would show the program that the endpoint hangs, and later ones would be refused at
        // once.
        let hangs = spawn_local(async move {
            let mut client = TcpStream::connect(address).await.expect("connects");
            try_exchange(&mut client, &request_text("place-order", "hangs", "a")).await
        });
        sleep(Duration::from_millis(FIRST_REQUEST_AFTER_MS)).await;
        let mut requests = vec![hangs];
        while program.try_wait().expect("a child").is_none() {
            let number = requests.len();
            requests.push(spawn_local(async move {
                let mut client = TcpStream::connect(address).await.ok()?;
                try_exchange(&mut client, &request_text("place-order", &format!("n{number}"), "a")).await
            }));
            sleep(REQUEST_INTERVAL).await;
        }
        let mut answered = 0;
        for request in requests {
            answered += u64::from(request.await.expect("no panic").is_some());
        }
        let counts = std::fs::read_to_string(&log).expect("the log");
        let counter = |name: &str| {
            let line = counts.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|count| count.trim().parse::<u64>().ok()).expect("counted")
        };
        let accepted = counter("flows_taken ");
        assert!(accepted > 10, "{accepted} were taken");
        assert_eq!(counter("violations_open_at_exit "), 0, "requests were open at the exit");
        assert!(answered >= accepted, "{accepted} taken, {answered} answered");
        [path, log].iter().for_each(|path| std::fs::remove_file(path).expect("there"));
    });
}
