//! The program as a process of its own.

use super::{bind_port, try_exchange};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

const READY_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
/// Interval at which readiness is asked for.
const READY_INTERVAL: Duration = Duration::from_millis(10);
/// Clock ticks in a second of processor time (`sysconf(_SC_CLK_TCK)`, which is 100 on Linux).
const TICKS_PER_S: f64 = 100.0;

/// A sidecar process and its configuration file; both are removed when the test ends, also by a panic.
pub struct Process {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Process {
    /// Starts the program at a free port with this configuration file; `name` tells its file from others.
    pub async fn start(name: &str, mut file: Value) -> Process {
        let (socket, address) = bind_port().await;
        drop(socket);
        file["listen"] = json!(address.to_string());
        let config = std::env::temp_dir().join(format!("roseproxy-{name}-{}.json", std::process::id()));
        std::fs::write(&config, file.to_string()).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_roseproxy"))
            .env("LB_CONFIG", &config)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Process { child, config, address }
    }

    /// Connects, and returns the connection once the sidecar reports that it is ready.
    pub async fn connect_once_ready(&self) -> TcpStream {
        connect_once_ready(self.address).await
    }

    /// Most memory that has been resident so far (bytes).
    pub fn peak_memory(&self) -> u64 {
        self.status_kb("VmHWM:") * 1_024
    }

    /// The memory that is resident (bytes).
    pub fn memory(&self) -> u64 {
        self.status_kb("VmRSS:") * 1_024
    }

    /// Processor time used so far (s).
    pub fn processor_time(&self) -> f64 {
        let stat = self.read("stat");
        // The fields after the program's name, which ends with a parenthesis: user and system time are 12th and 13th.
        let fields = stat.rsplit(')').next().expect("fields").split_whitespace().skip(11).take(2);
        fields.map(|ticks| ticks.parse::<f64>().expect("a number")).sum::<f64>() / TICKS_PER_S
    }

    fn status_kb(&self, name: &str) -> u64 {
        let status = self.read("status");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("a line");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).expect("the process runs")
    }
}

/// Connects, and returns the connection once the sidecar at this address reports that it is ready.
pub async fn connect_once_ready(sidecar: SocketAddr) -> TcpStream {
    loop {
        if let Ok(mut client) = TcpStream::connect(sidecar).await {
            let answer = try_exchange(&mut client, READY_REQUEST).await;
            if answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                return client;
            }
        }
        sleep(READY_INTERVAL).await;
    }
}
