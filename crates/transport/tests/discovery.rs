//! Tests the discovery watch over real connections.

use roseproxy_decision::interface::{Settings, Update};
use roseproxy_platform::request::Classes;
use roseproxy_platform::wire::ProtocolNames;
use roseproxy_routing::Host;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::memory_budget::MemoryBudget;
use roseproxy_transport::network::Tcp;
use roseproxy_transport::Gateway;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

/// Sends an empty list with this revision, which serves as a complete list and as a watch message.
async fn send_list(stream: &mut TcpStream, revision: u64) {
    let mut head = [0; 4096];
    assert!(stream.read(&mut head).await.expect("a request") > 0);
    let list = format!("{{\"revision\":{revision},\"complete\":true,\"members\":[]}}\n");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).await.expect("written");
}

fn revision(gateway: &Gateway<Tcp>) -> Option<u64> {
    let counts = gateway.counts();
    counts.iter().find(|(name, _)| name == "discovery_revision").map(|(_, count)| *count)
}

/// Waits until the counters show this revision.
async fn wait_for_revision(gateway: &Gateway<Tcp>, expected: u64) {
    let reached = async {
        while revision(gateway) != Some(expected) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let reached = tokio::time::timeout(Duration::from_secs(20), reached).await;
    assert!(reached.is_ok(), "the counters show revision {:?} instead of {expected}", revision(gateway));
}

fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// Guards against a counter that does not follow the applied lists: operators use it to find
/// sidecars with an outdated list.
#[test]
fn counters_show_the_current_revision() {
    run_local(async {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("bound");
        let settings = Settings::default();
        let classes = Classes::new(ProtocolNames::default(), settings.classes.clone());
        let host = Host::new(settings, 5, 0.0);
        let gateway =
            Gateway::new(Tcp, host, classes, Budget::new(20), MemoryBudget::new(1 << 20), Rc::new(|| 0.0));
        assert_eq!(revision(&gateway), Some(0), "no list yet");
        let (_address_sender, address_changes) = watch::channel(address);
        spawn_local(Watcher::new(gateway.clone(), address_changes, None).run());
        gateway.apply_kept_list(Update::Complete, &[]);
        let (mut stream, _) = socket.accept().await.expect("the watcher connects");
        send_list(&mut stream, 41).await;
        wait_for_revision(&gateway, 41).await;
        send_list(&mut stream, 43).await;
        wait_for_revision(&gateway, 43).await;
    });
}

/// A sidecar that starts with a stored list reports that list's revision.
#[test]
fn counters_show_the_revision_of_a_stored_list() {
    run_local(async {
        let settings = Settings::default();
        let classes = Classes::new(ProtocolNames::default(), settings.classes.clone());
        let host = Host::new(settings, 5, 0.0);
        let gateway =
            Gateway::new(Tcp, host, classes, Budget::new(20), MemoryBudget::new(1 << 20), Rc::new(|| 0.0));
        let (_address_sender, address_changes) = watch::channel(([127, 0, 0, 1], 9).into());
        let _watcher = Watcher::new(gateway.clone(), address_changes, Some(7));
        assert_eq!(revision(&gateway), Some(7));
    });
}
