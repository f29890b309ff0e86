//! The memory of a real process before crowds of clients that write slowly, stop in the middle of a large request, or
//! send heads of very many short fields. Guards against a process that passes its memory limit, and against usual
//! requests that get no answer beside such a crowd.

mod common;

use common::process::Process;
use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Memory limit in the configuration.
const MEMORY_MB: u64 = 32;
/// Clients that are connected at once.
const CROWD: usize = 400;
/// How long the crowd stays; a client that is turned away comes again at once.
const CROWD_DURATION: Duration = Duration::from_secs(2);
/// Interval of the usual requests beside the crowd.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// An answer that comes later than this after the time of its request counts as none.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest head that is read, less than a head of the crowd may have.
const HEAD_BYTES: usize = 15_000;

/// What a client of the crowd sends: its bytes, the size of the pieces that it writes them in, and the pause between.
#[derive(Clone)]
struct Conduct {
    what: &'static str,
    text: String,
    piece_bytes: usize,
    pause: Duration,
}

fn conducts() -> Vec<Conduct> {
    let fields = |count: usize| (0..count).map(|number| format!("f{number}:\r\n")).collect::<String>();
    let order = request_text("place-order", "ID", &"x".repeat(60_000));
    let half_order = order[..order.len() / 2].to_owned();
    let chunked_head = request_text("place-order", "ID", "")
        .replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    let short_fields = request_text("place-order", "ID", "")
        .replace("Content-Length: 0\r\n\r\n", &(fields(80) + "Content-Length: 60000\r\n\r\n"));
    let many_fields =
        request_text("quote", "ID", "").replace("\r\n\r\n", &format!("\r\n{}\r\n", fields(1_800)));
    let endless_head: String = format!("GET /quote HTTP/1.1\r\n{}", fields(HEAD_BYTES / 8));
    let ms = Duration::from_millis;
    let conduct = |what, text, piece_bytes, pause| Conduct { what, text, piece_bytes, pause };
    vec![
        conduct("orders written slowly", order, 1_280, ms(20)),
        conduct("half orders", half_order, usize::MAX, ms(0)),
        conduct("chunks of one byte", chunked_head + &"1\r\nx\r\n".repeat(6_000), 600, ms(20)),
        conduct("80 short fields and half a body", short_fields + &"x".repeat(30_000), usize::MAX, ms(0)),
        conduct("heads of 1,800 short fields", many_fields, usize::MAX, ms(0)),
        conduct("heads without an end, written slowly", endless_head, 150, ms(20)),
    ]
}

/// Sends what the conduct says on ever new connections, until `end`. Stays on each until it is closed.
async fn join_crowd(sidecar: SocketAddr, number: usize, conduct: Conduct, end: Instant) {
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        let text = conduct.text.replace("Request-Id: ID", &format!("Request-Id: c{number}-{round}"));
        let connection = async {
            let mut client = TcpStream::connect(sidecar).await.ok()?;
            for piece in text.as_bytes().chunks(conduct.piece_bytes.min(text.len())) {
                client.write_all(piece).await.ok()?;
                sleep(conduct.pause).await;
            }
            read_message(&mut client).await
        };
        let _ = tokio::time::timeout_at(end, connection).await;
    }
}

/// Runs the crowd on a thread of its own, which leaves the usual clients and the endpoint theirs.
fn start_crowd(sidecar: SocketAddr, conduct: Conduct, end: Instant) -> JoinHandle<()> {
    std::thread::spawn(move || {
        run_local(async {
            let clients =
                (0..CROWD).map(|number| spawn_local(join_crowd(sidecar, number, conduct.clone(), end)));
            for client in clients.collect::<Vec<_>>() {
                client.await.expect("a client does not panic");
            }
        });
    })
}

/// Checks that usual requests beside the crowd get an answer in time; returns how many were served.
async fn check_usual_requests(what: &str, sidecar: SocketAddr, end: Instant) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        sent += 1;
        let request = request_text("place-order", &format!("usual{sent}"), "b")
            .replace("Request-Timeout: 50", "Request-Timeout: 1.5");
        let exchange = async {
            let mut client = TcpStream::connect(sidecar).await.expect("connects");
            exchange(&mut client, &request).await
        };
        let answer = timeout(REQUEST_TIMEOUT + LATE_ANSWER_ALLOWANCE, exchange).await;
        let answer = answer.unwrap_or_else(|_| panic!("{what}: no answer in time"));
        assert!(["200", "503"].iter().any(|status| answer[9..].starts_with(status)), "{what}: {answer}");
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
        sleep(REQUEST_INTERVAL).await;
    }
    (sent, served)
}

/// Starts the program before an endpoint, and waits until it is ready.
async fn start_process(name: &str, endpoint: SocketAddr) -> Process {
    let mut file = config_with_short_latency_goals().file;
    file["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": 1_024});
    file["known"] = serde_json::from_str(&list_json(1, true, &[(endpoint, "in_service")])).expect("a list");
    let process = Process::start(name, file).await;
    process.connect_once_ready().await;
    process
}

/// Runs a crowd before a process of its own. Prints the figures.
fn run_crowd(conduct: Conduct) {
    run_local(async {
        let what = conduct.what;
        let (endpoint, address) = bind_port().await;
        count_requests(endpoint);
        let process = start_process(&format!("crowd-{}", what.replace(' ', "-")), address).await;
        let idle = process.peak_memory();
        let end = Instant::now() + CROWD_DURATION;
        let crowd = start_crowd(process.address, conduct, end);
        let (sent, served) = check_usual_requests(what, process.address, end).await;
        crowd.join().expect("the crowd does not panic");
        let (peak, processor_s) = (process.peak_memory(), process.processor_time());
        println!(
            "{what}: {idle} bytes before, {peak} at most; {served} of {sent} usual requests served; {processor_s} s of processor time"
        );
        assert!(peak <= MEMORY_MB * 1_000_000, "{what}: {peak} bytes of {MEMORY_MB} MB");
    });
}

#[test]
fn a_crowd_keeps_the_process_within_its_memory() {
    conducts().into_iter().for_each(run_crowd);
}
