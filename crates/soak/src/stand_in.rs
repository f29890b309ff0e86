//! The processes that stand in for what the sidecars speak with.

use crate::records::Record;
use serde::Serialize;
use std::cell::RefCell;
use std::process::Stdio;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::task::spawn_local;

/// A stand-in's process: told on its standard input, heard on its standard output.
pub struct StandIn {
    input: RefCell<Option<ChildStdin>>,
    child: RefCell<Child>,
}

impl StandIn {
    /// Starts this very program in a role; what it tells is added to the records.
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

    /// Tells it how to behave from now on.
    pub async fn tell(&self, conduct: &impl Serialize) {
        let Ok(mut line) = serde_json::to_string(conduct) else { return };
        line.push('\n');
        let taken = self.input.borrow_mut().take();
        let Some(mut input) = taken else { return };
        // One that has been killed hears nothing.
        let _ = input.write_all(line.as_bytes()).await;
        *self.input.borrow_mut() = Some(input);
    }

    /// Ends it at once: its connections are reset.
    pub fn kill(&self) {
        let _ = self.child.borrow_mut().start_kill();
    }
}
