//! Discovery's lists of config servers: the target group and its changes.

use crate::list_reader::List;
use roseproxy_decision::interface::Update;
use roseproxy_routing::flow::Target;
use serde::Deserialize;
use serde_json::Value;

/// Where the whole list is.
pub const LIST: &str = "/registry/instances";

/// Where the changes after a version are.
pub fn watch_path(revision: u64) -> String {
    format!("{LIST}?stream=1&index={revision}")
}

/// A list or the changes to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its version.
    pub revision: u64,
    /// Whether it names all there are.
    pub update: Update,
    /// Its entries.
    pub targets: Vec<Target>,
    /// Entries that could not be read. A list with any is never taken as complete: a member that
    /// only could not be read has not left.
    pub unread: usize,
}

/// Decodes the bytes of a watch into frames: objects that take one line, or are indented over several.
#[derive(Debug, Default)]
pub struct WatchDecoder {
    /// What came of the line that is coming in.
    line: Vec<u8>,
    /// Lines of an object that is not whole yet.
    object: Vec<u8>,
    /// How many brackets of it are open.
    open: i64,
}

/// One frame of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchFrame {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// A line of an object that goes on.
    Partial,
    /// What should be an object.
    Object(Vec<u8>),
}

impl WatchDecoder {
    /// Takes what came, and hands out each line's meaning once the line has ended.
    pub fn take(&mut self, text: &[u8], mut frame: impl FnMut(WatchFrame)) {
        for part in text.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.end_line(line.trim_ascii(), &mut frame);
            }
        }
    }

    fn end_line(&mut self, line: &[u8], frame: &mut impl FnMut(WatchFrame)) {
        if line.is_empty() {
            return frame(if self.object.is_empty() { WatchFrame::Heartbeat } else { WatchFrame::Partial });
        }
        let opened = brackets(line);
        // A whole list on a line of its own, behind one that was cut short: the latter's end will not come.
        if !self.object.is_empty() && opened == 0 && line.starts_with(b"{") && read(line).is_ok() {
            frame(WatchFrame::Object(std::mem::take(&mut self.object)));
            self.open = 0;
        }
        self.open += opened;
        self.object.extend_from_slice(line);
        if self.open > 0 && self.object.starts_with(b"{") {
            return frame(WatchFrame::Partial);
        }
        self.open = 0;
        frame(WatchFrame::Object(std::mem::take(&mut self.object)));
    }

    /// Bytes held of what has not ended.
    pub fn held(&self) -> usize {
        self.object.len() + self.line.len()
    }
}

/// How many more brackets a line opens than it closes. A string does not go over a line's end.
fn brackets(line: &[u8]) -> i64 {
    let (mut open, mut text, mut escaped) = (0, false, false);
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if text => escaped = true,
            b'"' => text = !text,
            b'{' | b'[' if !text => open += 1,
            b'}' | b']' if !text => open -= 1,
            _ => {}
        }
    }
    open
}

/// Reads a list from its text.
pub fn read(text: &[u8]) -> Result<Listing, String> {
    listing(serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?)
}

/// Reads a list.
pub fn from_json(value: &Value) -> Result<Listing, String> {
    listing(List::deserialize(value).map_err(|e| e.to_string())?)
}

fn listing(list: List) -> Result<Listing, String> {
    let revision = list.revision.ok_or("revision is not a whole number")?;
    let complete = list.complete.ok_or("complete is neither true nor false")?;
    let members = list.members.ok_or("members is not a list")?;
    let unread = members.count - members.targets.len();
    let update = if complete && unread == 0 { Update::Complete } else { Update::Changes };
    Ok(Listing { revision, update, targets: members.targets, unread })
}
