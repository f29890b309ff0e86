//! One client that sends small requests at full speed for some seconds, sound and unsound ones, also under ever new
//! names. Guards against answers to other clients that come late or never, and against memory that grows without end.

mod common;

use common::process::Process;
use common::*;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// How long the client sends.
const DURATION: Duration = Duration::from_secs(2);
/// Interval of the usual requests beside it.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of a usual request, and the most by which its answer may be later.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// How long half a request stays open; the sidecar closes its connection after 2.5 s.
const HALF_REQUEST_DURATION: Duration = Duration::from_secs(2);
/// Memory that may be added while the client sends: the event log, ids and keys in hand, all of which are bounded.
const MAX_GROWTH: u64 = 6 << 20;
/// Memory that may be added in the second half of that time, once what is bounded has been filled.
const MAX_LATER_GROWTH: u64 = 2 << 20;

/// Makes the bytes that the client sends next; the argument counts up.
type MakeInput = fn(usize) -> String;

/// A client that sends at full speed.
#[derive(Clone, Copy)]
struct Hasty {
    what: &'static str,
    make_input: MakeInput,
    /// Requests written together, before any answer is read.
    batch: usize,
}

fn clients() -> Vec<Hasty> {
    const OWN: &str = "HTTP/1.1\r\nHost: a\r\n\r\n";
    let one = |what, make_input: MakeInput| Hasty { what, make_input, batch: 1 };
    vec![
        one("an unknown class", |_| request_text("no-such-class", "same", "b")),
        one("new classes", |n| request_text(&format!("class-{n}"), &format!("c{n}"), "b")),
        one("no id", |_| request_text("quote", "", "")),
        one("no HTTP", |_| "\u{1}\u{2}\r\n\r\n".into()),
        one("a bad length", |n| request_text("place-order", &format!("l{n}"), "").replace("th: 0", "th: -1")),
        one("no time", |n| request_text("quote", &format!("t{n}"), "").replace("out: 50", "out: 0")),
        one("an id in use", |_| request_text("place-order", "open", "b")),
        one("counters", |_| format!("GET /health/counters {OWN}")),
        one("events", |_| format!("GET /health/events {OWN}")),
        one("readiness", |_| format!("GET /health/ready {OWN}")),
        one("new paths", |n| format!("GET /health/{n} {OWN}")),
        one("new ids", |n| request_text("quote", &format!("i{n}"), "")),
        one("new keys", |n| request_text("quote", &format!("k{n}"), "").replace("7f3a", &format!("key{n}"))),
        one("new tenants", |n| {
            request_text("quote", &format!("n{n}"), "").replace("acme", &format!("tenant{n}"))
        }),
        Hasty {
            what: "many at once",
            make_input: |n| request_text("quote", &format!("m{n}"), ""),
            batch: 100,
        },
        Hasty { what: "empty lines", make_input: |_| "\r\n".repeat(1_000), batch: 1 },
        Hasty { what: "bytes without an end", make_input: |_| "x".repeat(60_000), batch: 1 },
    ]
}

/// Sends at full speed until `end`, on a new connection whenever one is closed; returns the number of requests.
async fn send_at_full_speed(sidecar: SocketAddr, client: Hasty, end: Instant) -> usize {
    let mut sent = 0;
    while Instant::now() < end {
        let connection = async {
            let mut stream = TcpStream::connect(sidecar).await.ok()?;
            let mut answer = vec![0; 1 << 16];
            loop {
                let batch: String = (sent..sent + client.batch).map(client.make_input).collect();
                sent += client.batch;
                stream.write_all(batch.as_bytes()).await.ok()?;
                // Whatever is there is enough: the client does not wait for the whole of a long answer.
                match timeout(Duration::from_millis(5), stream.read(&mut answer)).await {
                    Ok(Ok(1..)) | Err(_) => {}
                    Ok(_) => return Some(()),
                }
            }
        };
        let _ = tokio::time::timeout_at(end, connection).await;
    }
    sent
}

/// Runs the client on a thread of its own.
fn start_hasty_client(sidecar: SocketAddr, client: Hasty, end: Instant) -> JoinHandle<usize> {
    std::thread::spawn(move || run_local(send_at_full_speed(sidecar, client, end)))
}

/// Sends usual requests beside the client, each on a new connection by turns; returns the times of their answers.
async fn time_usual_requests(what: &str, sidecar: SocketAddr, end: Instant) -> Vec<Duration> {
    let mut kept = TcpStream::connect(sidecar).await.expect("connects");
    let mut times = Vec::new();
    while Instant::now() < end {
        let request = request_text("place-order", &format!("usual{}", times.len()), "b")
            .replace("Request-Timeout: 50", &format!("Request-Timeout: {}", REQUEST_TIMEOUT.as_secs_f64()));
        if times.len() % 2 == 0 {
            kept = TcpStream::connect(sidecar).await.expect("connects");
        }
        let began = Instant::now();
        let answer = timeout(REQUEST_TIMEOUT + LATE_ANSWER_ALLOWANCE, exchange(&mut kept, &request)).await;
        let answer = answer.unwrap_or_else(|_| panic!("{what}: no answer in time after {}", times.len()));
        assert!(answer.starts_with("HTTP/1.1 200"), "{what}, after {}: {answer}", times.len());
        times.push(began.elapsed());
        sleep(REQUEST_INTERVAL).await;
    }
    times.sort_unstable();
    times
}

/// Keeps half a request open all the time, for the client that uses its id.
async fn keep_request_open(sidecar: SocketAddr) {
    let half = request_text("place-order", "open", "bb");
    loop {
        let _client = connect_and_send(sidecar, &half[..half.len() - 1]).await;
        sleep(HALF_REQUEST_DURATION).await;
    }
}

fn run_beside(client: Hasty) {
    run_local(async {
        let what = client.what;
        let (endpoint, address) = bind_port().await;
        count_requests(endpoint);
        let mut file = config_with_short_latency_goals().file;
        file["known"] =
            serde_json::from_str(&list_json(1, true, &[(address, "in_service")])).expect("a list");
        let process = Process::start(&format!("hasty-{}", what.replace(' ', "-")), file).await;
        process.connect_once_ready().await;
        spawn_local(keep_request_open(process.address));
        let (before, end) = (process.memory(), Instant::now() + DURATION);
        let hasty = start_hasty_client(process.address, client, end);
        let mut times = time_usual_requests(what, process.address, end - DURATION / 2).await;
        let halfway = process.memory();
        times.extend(time_usual_requests(what, process.address, end).await);
        times.sort_unstable();
        let after = process.memory();
        let sent = hasty.join().expect("no panic");
        let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!(
            "{what}: {sent} sent; {} usual requests answered after {:?} (median), {:?} (p99); memory {before}, {halfway}, {after} bytes",
            times.len(), percentile(0.5), percentile(0.99)
        );
        assert!(after < before + MAX_GROWTH, "{what}: memory {before}, {halfway}, {after} bytes");
        assert!(after < halfway + MAX_LATER_GROWTH, "{what}: memory {before}, {halfway}, {after} bytes");
    });
}

#[test]
fn a_client_at_full_speed_keeps_no_other_waiting_and_takes_no_memory() {
    clients().into_iter().for_each(run_beside);
}
