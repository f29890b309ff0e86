//! The stand-ins, the open-loop load and the bare relay on 127.0.0.0/8, and the command line.

use roseproxy_capacity::decisions::{measure_cell, Cell, Options};
use roseproxy_capacity::discovery::watch_chunk;
use roseproxy_capacity::experiment::Experiment;
use roseproxy_capacity::lists::list_and_change;
use roseproxy_capacity::load::{draw_arrivals, send_load};
use roseproxy_capacity::messages::endpoint_address;
use roseproxy_capacity::sidecar::{parse_counters, Process};
use roseproxy_capacity::stand_ins::{free_port, run_local, whole_list, StandInConfig, StandIns};
use roseproxy_emulator::http::Wire;
use roseproxy_platform::discovery::{read, WatchDecoder, WatchFrame};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;
use std::time::Duration;
use tokio::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_roseproxy-capacity");

fn start_stand_ins(listed_endpoints: usize, served_endpoints: usize) -> StandIns {
    let service_time = Duration::from_millis(2);
    StandIns::start(StandInConfig { listed_endpoints, served_endpoints, service_time }).expect("loopback")
}

async fn get(address: SocketAddr, path: &str) -> (Wire<TcpStream>, Option<Vec<u8>>) {
    let mut wire = Wire::new(TcpStream::connect(address).await.expect("loopback"));
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
    wire.write(request.as_bytes()).await.expect("a request");
    let answer = wire.read_answer().await.ok().map(|a| a.body.to_vec());
    (wire, answer)
}

/// The parser that sidecars use reads the generated lists and changes as intended.
#[test]
fn the_platforms_parser_reads_lists_and_changes() {
    let (whole, change) = list_and_change(1_000);
    let whole = read(whole.as_bytes()).expect("a list");
    assert_eq!((whole.targets.len(), whole.unreadable_entries), (1_000, 0));
    let addresses: std::collections::HashSet<_> = whole.targets.iter().map(|t| (t.id, t.address)).collect();
    assert_eq!(addresses.len(), 1_000, "each endpoint has an id and an address of its own");
    let change = read(change.as_bytes()).expect("a change");
    assert_eq!((change.targets.len(), change.revision, change.unreadable_entries), (1, 2, 0));
    assert!(whole.targets.contains(&roseproxy_routing::flow::Target {
        readiness: whole.targets[0].readiness,
        ..change.targets[0].clone()
    }));
}

#[test]
fn discovery_serves_the_list_and_published_objects() {
    let stand_ins = start_stand_ins(5, 0);
    let discovery = &stand_ins.discovery;
    run_local(async {
        let (_, list) = get(discovery.address, "/registry/instances").await;
        assert_eq!(list, Some(whole_list(1, 5, stand_ins.port).into_bytes()));
        // A watch is a chunked answer; this parser reads its head and leaves the chunks unread.
        let (mut wire, body) = get(discovery.address, "/registry/instances?stream=1&index=1").await;
        assert_eq!(body, None);
        while discovery.open_watches() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        discovery.publish("{\"revision\":9}".into());
        let mut text = Vec::new();
        while !text.ends_with(b"{\"revision\":9}\n\r\n") {
            let read = tokio::io::AsyncReadExt::read_buf(&mut wire.stream, &mut text).await;
            assert!(read.is_ok_and(|n| n > 0), "the watch ended");
        }
    })
    .expect("a runtime");
    assert!(discovery.bytes() > 0 && discovery.counts.lists.load(std::sync::atomic::Ordering::Relaxed) == 1);
}

#[test]
fn a_heartbeat_is_an_empty_line() {
    assert_eq!(watch_chunk(""), b"1\r\n\n\r\n");
    let (mut decoder, mut frames) = (WatchDecoder::default(), Vec::new());
    decoder.push(b"\n", |frame| frames.push(frame));
    assert_eq!(frames, [WatchFrame::Heartbeat]);
}

#[test]
fn arrivals_follow_rate_and_key_popularity() {
    let length = Duration::from_secs(20);
    let all = draw_arrivals(500.0, length, 300, 7).expect("arrivals");
    assert!((9_500..10_500).contains(&all.len()), "{}", all.len());
    assert!(all.windows(2).all(|w| w[0].at <= w[1].at) && all.iter().all(|a| a.at < length));
    let first = all.iter().filter(|a| a.key == Some(1)).count();
    let last = all.iter().filter(|a| a.key == Some(300)).count();
    assert!(first > 20 * last.max(1), "{first} for the most popular key, {last} for the least");
    assert!(draw_arrivals(500.0, length, 0, 7).is_ok_and(|all| all.iter().all(|a| a.key.is_none())));
    assert!(draw_arrivals(-1.0, length, 0, 7).is_err_and(|e| e.to_string().contains("--rates")));
}

/// All requests that are due are sent and answered, directly and through the relay, and only those after the
/// warm-up are counted. Without a listener all requests fail.
#[test]
fn load_counts_requests_sent_after_the_warm_up() {
    let stand_ins = start_stand_ins(1, 1);
    let endpoint = endpoint_address(0, stand_ins.port);
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port().expect("a port")));
    let mut command = Command::new(PROGRAM);
    command.args(["relay", "--listen", &listen.to_string(), "--to", &endpoint.to_string()]);
    let relay = Process::start("relay", &mut command, None).expect("the relay");
    run_local(async {
        while TcpStream::connect(listen).await.is_err() {
            relay.usage().expect("the relay runs");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .expect("a runtime");
    let warm_up = Duration::from_millis(200);
    for address in [endpoint, listen] {
        let due = draw_arrivals(100.0, Duration::from_millis(800), 10, 7).expect("arrivals");
        let counted = due.iter().filter(|a| a.at >= warm_up).count();
        let result = send_load(address, due, warm_up, "test").expect("a run");
        assert_eq!((result.sent, result.failed, result.samples.len()), (counted, 0, counted));
        assert_eq!(result.times.quantiles().count as usize, counted);
    }
    let unused_address = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port().expect("a port")));
    let due = draw_arrivals(100.0, Duration::from_millis(100), 0, 7).expect("arrivals");
    let count = due.len();
    let result = send_load(unused_address, due, Duration::ZERO, "test").expect("a run");
    assert_eq!((result.sent, result.failed), (count, count), "requests without an answer have failed");
}

#[test]
fn decisions_are_counted_and_delays_include_the_cost_outside_the_module() {
    let options = Options {
        endpoints: vec![20],
        rates: vec![170.0],
        keys: vec![50],
        sidecars: 1_000,
        service_ms: 20.0,
        seconds: 3,
        other_us: 50.0,
        seed: 7,
    };
    let result = measure_cell(&options, Cell { endpoints: 20, rate: 170.0, keys: 50 }).expect("a cell");
    assert!((400..620).contains(&result.decision.count), "{}", result.decision.count);
    assert!(result.answer.count > 0 && result.delay.count == result.answer.count);
    assert!(result.delay.p50 >= 50.0, "a delay includes at least the cost outside the module");
}

#[test]
fn counters_are_parsed_and_other_lines_skipped() {
    let counters = parse_counters("discovery_lists 3\nno number\nflows_taken 17\n\n");
    assert_eq!(
        counters.into_iter().collect::<Vec<_>>(),
        [("discovery_lists".to_owned(), 3.0), ("flows_taken".to_owned(), 17.0)]
    );
}

#[test]
fn errors_name_the_invalid_argument() {
    let error_output = |arguments: &[&str]| {
        let output = Command::new(PROGRAM).args(arguments).output().expect("the program");
        assert!(!output.status.success(), "{arguments:?}");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(error_output(&["memory", "--endpoints", "0"]).contains("--endpoints: 0 is not from 1 to 4096"));
    assert!(error_output(&["changes", "--list-rate", "1e9"]).contains("--list-rate"));
    assert!(error_output(&["latency", "--rounds", "many"]).contains("--rounds"));
    assert!(error_output(&["decisions", "--seconds", "0"]).contains("--seconds"));
    assert!(error_output(&["memory", "--program", "no/such/program"]).contains("no/such/program"));
    assert!(error_output(&["layers", "--result", "no/such/result"]).contains("no/such/result"));
    assert!(error_output(&["attempts", "--failing", "1.5"]).contains("--failing"));
}

#[test]
fn a_result_is_written_as_json_and_as_a_table() {
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().join("result");
    let ran = Command::new(PROGRAM)
        .args(["lists", "--endpoints", "5,10", "--runs", "3", "--out"])
        .arg(&out)
        .output()
        .expect("the program");
    assert!(ran.status.success(), "{}", String::from_utf8_lossy(&ran.stderr));
    let json = std::fs::read_to_string(out.join("lists.json")).expect("a result");
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["samples"].as_array().map(Vec::len), Some(2));
    assert_eq!(json["arguments"]["runs"], 3);
    let table = std::fs::read_to_string(out.join("lists.md")).expect("a table");
    assert_eq!(table.lines().filter(|l| l.starts_with("| ")).count(), 4, "{table}");
}

/// The shipped experiment file uses only measurements and flags that exist.
#[test]
fn the_shipped_experiment_is_read_and_invalid_ones_are_refused() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../lab/experiments/capacity.toml");
    let experiment = Experiment::load(shipped.as_ref()).expect("the shipped file");
    for step in &experiment.steps {
        let help = Command::new(PROGRAM).arg(&step.arguments[0]).arg("--help").output().expect("the program");
        let help = String::from_utf8_lossy(&help.stdout).into_owned();
        let flags = step.arguments.iter().filter(|a| a.starts_with("--"));
        flags.for_each(|flag| assert!(help.contains(flag.as_str()), "{}: {flag}", step.name));
    }
    let folder = tempfile::tempdir().expect("a folder");
    for text in ["name = \"x\"\nstep = []", "name = \"x\"\nunknown = 1", "no toml"] {
        let file = folder.path().join("faulty.toml");
        std::fs::write(&file, text).expect("a file");
        assert!(Experiment::load(&file).is_err(), "{text}");
    }
}
