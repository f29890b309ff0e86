//! The largest lists: sixteen times the usual config servers, in the longest form that the platform's page allows.

mod common;

use common::*;
use roseproxy::Clock;
use roseproxy_transport::network::Tcp;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;

/// Config servers of the largest fleets.
const MOST: u16 = 3_200;

/// The whole list, each entry over several lines, far indented.
fn indented(revision: u64) -> String {
    let group: Vec<(SocketAddr, &str)> =
        (1..=MOST).map(|port| (SocketAddr::from(([127, 0, 0, 9], port)), "in_service")).collect();
    let value: serde_json::Value = serde_json::from_str(&list(revision, true, &group)).expect("a list");
    let text = serde_json::to_string_pretty(&value).expect("a text");
    text.lines().map(|line| line.replace("  ", "        ") + "\n").collect()
}

#[test]
fn the_largest_list_is_taken_whole_and_from_a_watch() {
    scene(async {
        let (socket, address) = port().await;
        let sidecar = sidecar_on(Tcp, pushed(), Clock::system(), &[], 8, 20).await;
        watching(&sidecar, address, None);
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        let text = indented(2);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        stream.write_all(answer.as_bytes()).await.expect("it reads");
        let watch = message(&mut stream).await.expect("the watch behind it");
        assert!(watch.contains("index=2 "), "{watch}");
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.expect("it reads");
        chunk(&mut stream, &(indented(3))).await.expect("it reads");
        until("the list of the watch is taken", || of(&sidecar.gateway, "discovery_revision") == 3).await;
        assert_eq!(of(&sidecar.gateway, "picture_ready"), u64::from(MOST));
    });
}
