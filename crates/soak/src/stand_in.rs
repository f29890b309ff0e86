//! Child processes that act as the counterparts of the sidecars: endpoints, discovery and clients.

use crate::records::Record;
use serde::Serialize;
use std::cell::RefCell;
use std::process::Stdio;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::task::spawn_local;

/// Handle of a stand-in process, which receives commands on its standard input and reports records on its standard
/// output.
pub struct StandIn {
    input: RefCell<Option<ChildStdin>>,
    child: RefCell<Child>,
}

impl StandIn {
    /// Starts this program under another subcommand; its records are appended to `records`.
    pub fn start(arguments: &[String], records: Rc<RefCell<Vec<Record>>>) -> Result<StandIn, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", arguments[0]))?;
        let input = RefCell::new(child.stdin.take());
        if let Some(output) = child.stdout.take() {
            spawn_local(async move {
                let mut lines = BufReader::new(output).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Ok(record) = serde_json::from_str(&line) {
                        records.borrow_mut().push(record);
                    }
                }
            });
        }
        Ok(StandIn { input, child: RefCell::new(child) })
    }

    /// Sends the stand-in its new behavior.
    pub async fn send(&self, behavior: &impl Serialize) {
        let Ok(mut line) = serde_json::to_string(behavior) else { return };
        line.push('\n');
        let input = self.input.borrow_mut().take();
        let Some(mut input) = input else { return };
        // A write to a process that has been killed fails; there is nothing to do then.
        let _ = input.write_all(line.as_bytes()).await;
        *self.input.borrow_mut() = Some(input);
    }

    /// Kills the process, which resets its connections.
    pub fn kill(&self) {
        let _ = self.child.borrow_mut().start_kill();
    }
}
