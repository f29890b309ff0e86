//! A `roseproxy` process: started, asked, measured, told to reload, and ended.

use crate::cost::Usage;
use crate::error::{Error, Result};
use crate::messages::configuration;
use roseproxy_emulator::http::Wire;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time that a process gets to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two questions whether it is.
const ASK_PAUSE: Duration = Duration::from_millis(10);
/// Descriptors that the platform allows a sidecar.
pub const SOCKETS: usize = 1_024;

/// A child process that is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Its name in messages.
    pub name: String,
}

impl Process {
    /// Starts a program; its output goes to a file, or nowhere.
    pub fn start(name: &str, command: &mut Command, log: Option<&Path>) -> Result<Process> {
        let program = PathBuf::from(command.get_program());
        let log = log.and_then(|path| std::fs::File::create(path).ok()).map_or(Stdio::null(), Stdio::from);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        let child = child.map_err(|source| Error::File { path: program, source })?;
        Ok(Process { child, name: name.to_owned() })
    }

    /// What it has used so far.
    pub fn usage(&self) -> Result<Usage> {
        Usage::of(self.child.id()).ok_or_else(|| self.error("has ended"))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(|e| self.error(&format!("could not be signalled: {e}")))
    }

    /// An error of this process.
    pub fn error(&self, what: &str) -> Error {
        Error::Process { name: self.name.clone(), what: what.to_owned() }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended is only waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder for configurations and logs, removed when dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    /// A new folder below the system's place for temporary files.
    pub fn new() -> Result<Folder> {
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let name = format!("roseproxy-capacity-{}-{}", std::process::id(), nanos.as_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|source| Error::File { path: path.clone(), source })?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running sidecar.
#[derive(Debug)]
pub struct Sidecar {
    /// Its process.
    pub process: Process,
    /// Where it listens.
    pub listen: SocketAddr,
    file: PathBuf,
    settings: Value,
}

impl Sidecar {
    /// Starts one; it is not ready yet.
    pub fn start(
        program: &Path,
        folder: &Folder,
        name: &str,
        discovery: SocketAddr,
        settings: Value,
    ) -> Result<Sidecar> {
        let listen = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), crate::standin::free_port()?);
        let file = folder.0.join(format!("{name}.json"));
        write_configuration(&file, name, listen, discovery, &settings)?;
        let log = folder.0.join(format!("{name}.log"));
        let mut command = Command::new(program);
        let process = Process::start(name, command.env("LB_CONFIG", &file), Some(&log))?;
        Ok(Sidecar { process, listen, file, settings })
    }

    /// Writes a configuration with another discovery and has it read.
    pub fn reload(&self, discovery: SocketAddr) -> Result<()> {
        write_configuration(&self.file, &self.process.name, self.listen, discovery, &self.settings)?;
        self.process.signal(Signal::HUP)
    }

    /// Waits until it answers that it is ready.
    pub async fn ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            self.process.usage()?;
            if get(self.listen, "/health/ready").await.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
        Err(self.process.error("did not become ready"))
    }

    /// Its counters by name.
    pub async fn counters(&self) -> Result<BTreeMap<String, f64>> {
        let answer = get(self.listen, "/health/counters").await;
        let (_, text) = answer.ok_or_else(|| self.process.error("did not tell its counters"))?;
        Ok(parse_counters(&text))
    }
}

/// A connection on which counters are asked for again and again.
#[derive(Debug)]
pub struct CounterProbe {
    wire: Wire<TcpStream>,
}

impl CounterProbe {
    /// Opens it.
    pub async fn open(sidecar: &Sidecar) -> Result<CounterProbe> {
        let stream = TcpStream::connect(sidecar.listen).await;
        let stream = stream.map_err(crate::standin::system("a connection for counters"))?;
        let _ = stream.set_nodelay(true);
        Ok(CounterProbe { wire: Wire::new(stream) })
    }

    /// The counters now; `None` where the connection has ended.
    pub async fn read(&mut self) -> Option<BTreeMap<String, f64>> {
        self.wire.write(request("/health/counters").as_bytes()).await.ok()?;
        let answer = self.wire.read_answer().await.ok()?;
        Some(parse_counters(&String::from_utf8_lossy(&answer.body)))
    }
}

/// Reads lines of `name value`; others are skipped.
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
    let text = configuration(name, listen, discovery, SOCKETS, settings).to_string();
    std::fs::write(file, text).map_err(|source| Error::File { path: file.to_owned(), source })
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: capacity\r\n\r\n")
}

async fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut wire = Wire::new(TcpStream::connect(address).await.ok()?);
    wire.write(request(path).as_bytes()).await.ok()?;
    let answer = wire.read_answer().await.ok()?;
    Some((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
}
