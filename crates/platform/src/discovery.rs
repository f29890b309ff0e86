//! Discovery lists: the target group and its changes, and the framing of the watch that delivers them.

use crate::buffer;
use crate::list_reader::List;
use roseproxy_decision::interface::Update;
use roseproxy_routing::flow::Target;
use serde::Deserialize;
use serde_json::Value;

/// Path of the complete list.
pub const LIST_PATH: &str = "/registry/instances";

/// Path of the watch that streams the changes after a revision.
pub fn watch_path(revision: u64) -> String {
    format!("{LIST_PATH}?stream=1&index={revision}")
}

/// A complete list of targets, or changes to a list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the entries are the complete list or changes to it.
    pub update: Update,
    /// Entries that could be read.
    pub targets: Vec<Target>,
    /// Number of entries that could not be read. A list with any of them is never treated as complete,
    /// because a member with an unreadable entry has not left the group.
    pub unreadable_entries: usize,
}

/// Decodes the byte stream of a watch into frames. An object takes one line, or is indented over several.
#[derive(Debug, Default)]
pub struct WatchDecoder {
    /// Bytes of the line that has not ended yet.
    line: Vec<u8>,
    /// Lines of the object that is not complete yet.
    object: Vec<u8>,
    /// Number of open brackets in `object`.
    open_brackets: i64,
}

/// One frame of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchFrame {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// A line within an object that continues on the next line.
    Partial,
    /// The text of an object. It has not been parsed and may be malformed.
    Object(Vec<u8>),
}

impl WatchDecoder {
    /// Adds received bytes, and calls `on_frame` for each line that has ended.
    pub fn push(&mut self, bytes: &[u8], mut on_frame: impl FnMut(WatchFrame)) {
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            buffer::append(&mut self.line, part);
            if part.ends_with(b"\n") {
                let line = trimmed(std::mem::take(&mut self.line));
                self.end_line(line, &mut on_frame);
            }
        }
    }

    fn end_line(&mut self, line: Vec<u8>, on_frame: &mut impl FnMut(WatchFrame)) {
        if line.is_empty() {
            return on_frame(if self.object.is_empty() {
                WatchFrame::Heartbeat
            } else {
                WatchFrame::Partial
            });
        }
        let opened = net_open_brackets(&line);
        // A complete list on a line of its own follows an object that was cut short, whose end will
        // never arrive. The truncated object is passed on as it is, so that it does not hide the list.
        if !self.object.is_empty() && opened == 0 && line.starts_with(b"{") && read(&line).is_ok() {
            on_frame(WatchFrame::Object(std::mem::take(&mut self.object)));
            self.open_brackets = 0;
        }
        self.open_brackets += opened;
        match self.object.is_empty() {
            true => self.object = line,
            false => buffer::append(&mut self.object, &line),
        }
        if self.open_brackets > 0 && self.object.starts_with(b"{") {
            return on_frame(WatchFrame::Partial);
        }
        self.open_brackets = 0;
        on_frame(WatchFrame::Object(std::mem::take(&mut self.object)));
    }

    /// Number of buffered bytes of incomplete lines and objects.
    pub fn buffered_bytes(&self) -> usize {
        self.object.len() + self.line.len()
    }
}

/// Removes white space around a line, in place.
fn trimmed(mut line: Vec<u8>) -> Vec<u8> {
    line.truncate(line.trim_ascii_end().len());
    let leading = line.len() - line.trim_ascii_start().len();
    line.drain(..leading);
    line
}

/// Opening brackets minus closing brackets in a line, outside of strings. JSON strings cannot span lines.
fn net_open_brackets(line: &[u8]) -> i64 {
    let (mut open, mut in_string, mut escaped) = (0, false, false);
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => open += 1,
            b'}' | b']' if !in_string => open -= 1,
            _ => {}
        }
    }
    open
}

/// Reads a list or a change from JSON text.
pub fn read(text: &[u8]) -> Result<ListUpdate, String> {
    to_update(serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?)
}

/// Reads a list or a change from a parsed JSON value.
pub fn from_json(value: &Value) -> Result<ListUpdate, String> {
    to_update(List::deserialize(value).map_err(|e| e.to_string())?)
}

fn to_update(list: List) -> Result<ListUpdate, String> {
    let revision = list.revision.ok_or("revision is not a whole number")?;
    let complete = list.complete.ok_or("complete is neither true nor false")?;
    let entries = list.entries.ok_or("members is not a list")?;
    let unreadable_entries = entries.total - entries.targets.len();
    let update = if complete && unreadable_entries == 0 { Update::Complete } else { Update::Changes };
    Ok(ListUpdate { revision, update, targets: entries.targets, unreadable_entries })
}
