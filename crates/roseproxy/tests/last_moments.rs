//! The last moments before the platform's kill: whatever comes has its answer before the process ends. Time is paused.

mod common;

use common::*;
use roseproxy::config::Config;
use roseproxy::signals::Asked;
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
            ask.send(Asked::End).expect("it runs");
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
