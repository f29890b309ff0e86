//! Starts, queries, measures, reloads and stops `roseproxy` processes.

use crate::error::{Error, Result};
use crate::messages::sidecar_config;
use crate::usage::Usage;
use roseproxy_emulator::http::Wire;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time in which a process must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of descriptors that the platform allows a sidecar.
pub const SOCKET_LIMIT: usize = 1_024;

/// A child process that is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Name of the process in error messages.
    pub name: String,
}

impl Process {
    /// Starts a program. Its standard error goes to the file `log`, or is discarded without one.
    pub fn start(name: &str, command: &mut Command, log: Option<&Path>) -> Result<Process> {
        let program = PathBuf::from(command.get_program());
        let log = log.and_then(|path| std::fs::File::create(path).ok()).map_or(Stdio::null(), Stdio::from);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        let child = child.map_err(|source| Error::File { path: program, source })?;
        Ok(Process { child, name: name.to_owned() })
    }

    /// Returns the processor time and memory that the process has used so far.
    pub fn usage(&self) -> Result<Usage> {
        Usage::of_process(self.child.id()).ok_or_else(|| self.error("has ended"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(|e| self.error(&format!("could not be signalled: {e}")))
    }

    /// Builds an error about this process.
    pub fn error(&self, problem: &str) -> Error {
        Error::Process { name: self.name.clone(), problem: problem.to_owned() }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // For a process that has already ended, the kill has no effect and only the wait matters.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder for configurations and logs, removed when the value is dropped.
#[derive(Debug)]
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a new folder in the system's folder for temporary files.
    pub fn new() -> Result<TempFolder> {
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let name = format!("roseproxy-capacity-{}-{}", std::process::id(), nanos.as_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|source| Error::File { path: path.clone(), source })?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running sidecar process.
#[derive(Debug)]
pub struct Sidecar {
    /// The process.
    pub process: Process,
    /// Address on which the sidecar listens.
    pub listen: SocketAddr,
    config_file: PathBuf,
    settings: Value,
}

impl Sidecar {
    /// Starts a sidecar without waiting until it is ready.
    pub fn start(
        program: &Path,
        folder: &TempFolder,
        name: &str,
        discovery: SocketAddr,
        settings: Value,
    ) -> Result<Sidecar> {
        let listen = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), crate::stand_ins::free_port()?);
        let config_file = folder.0.join(format!("{name}.json"));
        write_configuration(&config_file, name, listen, discovery, &settings)?;
        let log = folder.0.join(format!("{name}.log"));
        let mut command = Command::new(program);
        let process = Process::start(name, command.env("LB_CONFIG", &config_file), Some(&log))?;
        Ok(Sidecar { process, listen, config_file, settings })
    }

    /// Writes a configuration with another discovery address and signals the sidecar to reload it.
    pub fn reload(&self, discovery: SocketAddr) -> Result<()> {
        write_configuration(&self.config_file, &self.process.name, self.listen, discovery, &self.settings)?;
        self.process.signal(Signal::HUP)
    }

    /// Waits until the sidecar reports that it is ready.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            self.process.usage()?;
            if get(self.listen, "/health/ready").await.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(self.process.error("did not become ready"))
    }

    /// Returns the sidecar's counters by name.
    pub async fn counters(&self) -> Result<BTreeMap<String, f64>> {
        let answer = get(self.listen, "/health/counters").await;
        let (_, text) = answer.ok_or_else(|| self.process.error("did not return its counters"))?;
        Ok(parse_counters(&text))
    }
}

/// A persistent connection for reading a sidecar's counters repeatedly.
#[derive(Debug)]
pub struct CounterConnection {
    wire: Wire<TcpStream>,
}

impl CounterConnection {
    /// Opens the connection.
    pub async fn open(sidecar: &Sidecar) -> Result<CounterConnection> {
        let stream = TcpStream::connect(sidecar.listen).await;
        let stream = stream.map_err(crate::stand_ins::system_error("a connection for counters"))?;
        let _ = stream.set_nodelay(true);
        Ok(CounterConnection { wire: Wire::new(stream) })
    }

    /// Reads the current counters; `None` if the connection has ended.
    pub async fn read(&mut self) -> Option<BTreeMap<String, f64>> {
        self.wire.write(get_request("/health/counters").as_bytes()).await.ok()?;
        let answer = self.wire.read_answer().await.ok()?;
        Some(parse_counters(&String::from_utf8_lossy(&answer.body)))
    }
}

/// Parses lines of the form `name value`; other lines are skipped.
pub fn parse_counters(text: &str) -> BTreeMap<String, f64> {
    let pair = |line: &str| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.trim().parse().ok()?))
    };
    text.lines().filter_map(pair).collect()
}

fn write_configuration(
    file: &Path,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    settings: &Value,
) -> Result<()> {
    let text = sidecar_config(name, listen, discovery, SOCKET_LIMIT, settings).to_string();
    std::fs::write(file, text).map_err(|source| Error::File { path: file.to_owned(), source })
}

fn get_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: capacity\r\n\r\n")
}

async fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut wire = Wire::new(TcpStream::connect(address).await.ok()?);
    wire.write(get_request(path).as_bytes()).await.ok()?;
    let answer = wire.read_answer().await.ok()?;
    Some((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
}
