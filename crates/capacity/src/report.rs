//! The result of a measurement, written as JSON and as Markdown.

use crate::error::{Error, Result};
use crate::usage::load_average;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// A table of measured or computed figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Table {
    /// Title of the table.
    pub title: String,
    /// Column names, with units.
    pub columns: Vec<String>,
    /// Rows of formatted cells.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|c| (*c).to_owned()).collect();
        Table { title: title.to_owned(), columns, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the table as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("{}\n\n| {} |\n", self.title, self.columns.join(" | "));
        let separator = vec!["---"; self.columns.len()].join(" | ");
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "| {separator} |");
        for row in &self.rows {
            let _ = writeln!(text, "| {} |", row.join(" | "));
        }
        text
    }
}

/// The result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The subcommand.
    pub command: String,
    /// The arguments used, defaults included.
    pub arguments: serde_json::Value,
    /// Load average of the machine before and after.
    pub load_average: (f64, f64),
    /// The tables.
    pub tables: Vec<Table>,
    /// Fits and single figures, by name.
    pub notes: Vec<String>,
    /// Raw samples, for further analysis.
    pub samples: serde_json::Value,
}

impl Report {
    /// Starts a report and reads the load average.
    pub fn start(command: &str, arguments: &impl Serialize) -> Report {
        Report {
            command: command.to_owned(),
            arguments: serde_json::to_value(arguments).unwrap_or_default(),
            load_average: (load_average(), f64::NAN),
            tables: Vec::new(),
            notes: Vec::new(),
            samples: serde_json::Value::Null,
        }
    }

    /// Finishes the report by reading the load average once more.
    pub fn finish(mut self) -> Report {
        self.load_average.1 = load_average();
        self
    }

    /// Formats the report as Markdown.
    pub fn to_markdown(&self) -> String {
        let (before, after) = self.load_average;
        let mut text = format!("# {}\n\n", self.command);
        let _ = writeln!(text, "Arguments: `{}`", self.arguments);
        let _ = writeln!(text, "\nLoad average before {before:.1}, after {after:.1}.\n");
        self.tables.iter().for_each(|table| {
            let _ = writeln!(text, "{}", table.to_markdown());
        });
        self.notes.iter().for_each(|note| {
            let _ = writeln!(text, "- {note}");
        });
        text
    }

    /// Writes `NAME.json` and `NAME.md` into a folder.
    pub fn write(&self, folder: &Path, name: &str) -> Result<()> {
        let file_error = |path: &Path, source| Error::File { path: path.to_owned(), source };
        std::fs::create_dir_all(folder).map_err(|e| file_error(folder, e))?;
        let json = serde_json::to_string_pretty(self).unwrap_or_default();
        for (extension, text) in [("json", json), ("md", self.to_markdown())] {
            let path = folder.join(format!("{name}.{extension}"));
            std::fs::write(&path, text).map_err(|e| file_error(&path, e))?;
        }
        Ok(())
    }
}
