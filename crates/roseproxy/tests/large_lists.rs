//! Lists of the largest size: sixteen times the usual number of config servers, in the longest form that the
//! platform's documentation allows. Guards against limits on the size of a list that would reject them.

mod common;

use common::*;
use roseproxy::Clock;
use roseproxy_transport::network::Tcp;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;

/// Number of config servers of the largest fleets.
const ENDPOINTS: u16 = 3_200;

/// The whole list as JSON text, with each entry over several lines and a deep indentation.
fn indented_list(revision: u64) -> String {
    let entries: Vec<(SocketAddr, &str)> =
        (1..=ENDPOINTS).map(|port| (SocketAddr::from(([127, 0, 0, 9], port)), "in_service")).collect();
    let value: serde_json::Value =
        serde_json::from_str(&list_json(revision, true, &entries)).expect("a list");
    let text = serde_json::to_string_pretty(&value).expect("a text");
    text.lines().map(|line| line.replace("  ", "        ") + "\n").collect()
}

#[test]
fn the_largest_list_is_read_from_a_call_and_from_a_watch() {
    run_local(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar_on(Tcp, pushed_config(), Clock::system(), &[], 8, 20).await;
        start_watch(&sidecar, address, None);
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        let text = indented_list(2);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        stream.write_all(answer.as_bytes()).await.expect("it reads");
        let watch = read_message(&mut stream).await.expect("a watch after the list");
        assert!(watch.contains("index=2 "), "{watch}");
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.expect("it reads");
        write_chunk(&mut stream, &(indented_list(3))).await.expect("it reads");
        wait_until("the list of the watch is taken", || counter(&sidecar.gateway, "discovery_revision") == 3)
            .await;
        assert_eq!(counter(&sidecar.gateway, "picture_ready"), u64::from(ENDPOINTS));
    });
}
