//! The watch on discovery over real connections.

use roseproxy_decision::interface::{Settings, Update};
use roseproxy_platform::request::Classes;
use roseproxy_platform::wire::ProtocolNames;
use roseproxy_routing::Host;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::network::Tcp;
use roseproxy_transport::Gateway;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

/// Answers with this revision of an empty list, as a whole list and as a watch alike.
async fn answer(stream: &mut TcpStream, revision: u64) {
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
async fn shows(gateway: &Gateway<Tcp>, wanted: u64) {
    let shown = async {
        while revision(gateway) != Some(wanted) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let shown = tokio::time::timeout(Duration::from_secs(20), shown).await;
    assert!(shown.is_ok(), "the counters show {:?} and not {wanted}", revision(gateway));
}

fn local<T>(scene: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scene)
}

/// The revision of the list in hand is among the counters: operators tell by it which sidecar is behind.
#[test]
fn the_counters_show_the_revision_in_hand() {
    local(async {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("bound");
        let settings = Settings::default();
        let classes = Classes::new(ProtocolNames::default(), settings.classes.clone());
        let host = Host::new(settings, 5, 0.0);
        let gateway = Gateway::new(Tcp, host, classes, Budget::new(20), Rc::new(|| 0.0));
        assert_eq!(revision(&gateway), Some(0), "no list yet");
        let (_keep, moves) = watch::channel(address);
        spawn_local(Watcher::new(gateway.clone(), moves, None).run());
        gateway.targets(Update::Complete, &[]);
        let (mut stream, _) = socket.accept().await.expect("a caller");
        answer(&mut stream, 41).await;
        shows(&gateway, 41).await;
        answer(&mut stream, 43).await;
        shows(&gateway, 43).await;
    });
}

/// A sidecar that starts on a known list has that list's revision.
#[test]
fn the_counters_show_the_revision_of_the_known_list() {
    local(async {
        let settings = Settings::default();
        let classes = Classes::new(ProtocolNames::default(), settings.classes.clone());
        let host = Host::new(settings, 5, 0.0);
        let gateway = Gateway::new(Tcp, host, classes, Budget::new(20), Rc::new(|| 0.0));
        let (_keep, moves) = watch::channel(([127, 0, 0, 1], 9).into());
        let _watcher = Watcher::new(gateway.clone(), moves, Some(7));
        assert_eq!(revision(&gateway), Some(7));
    });
}
