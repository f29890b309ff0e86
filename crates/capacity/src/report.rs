//! The result of a measurement, as JSON and as a table for a page.

use crate::cost::load_average;
use crate::error::{Error, Result};
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// A measured, or computed, table.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Table {
    /// What it shows.
    pub title: String,
    /// Column names, with units.
    pub columns: Vec<String>,
    /// Rows as they are printed.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|c| (*c).to_owned()).collect();
        Table { title: title.to_owned(), columns, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The table in Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!("{}\n\n| {} |\n", self.title, self.columns.join(" | "));
        let rule = vec!["---"; self.columns.len()].join(" | ");
        // Writing to a text cannot fail.
        let _ = writeln!(text, "| {rule} |");
        for row in &self.rows {
            let _ = writeln!(text, "| {} |", row.join(" | "));
        }
        text
    }
}

/// What one measurement brought.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The subcommand.
    pub command: String,
    /// The arguments in force, defaults included.
    pub arguments: serde_json::Value,
    /// Load average of the machine before and after.
    pub load_average: (f64, f64),
    /// The tables.
    pub tables: Vec<Table>,
    /// Fits and single figures, by name.
    pub notes: Vec<String>,
    /// Raw samples, for whoever wants to work on them.
    pub samples: serde_json::Value,
}

impl Report {
    /// A report that begins now.
    pub fn begin(command: &str, arguments: &impl Serialize) -> Report {
        Report {
            command: command.to_owned(),
            arguments: serde_json::to_value(arguments).unwrap_or_default(),
            load_average: (load_average(), f64::NAN),
            tables: Vec::new(),
            notes: Vec::new(),
            samples: serde_json::Value::Null,
        }
    }

    /// Ends the measurement: reads the load average once more.
    pub fn end(mut self) -> Report {
        self.load_average.1 = load_average();
        self
    }

    /// The report in Markdown.
    pub fn markdown(&self) -> String {
        let (before, after) = self.load_average;
        let mut text = format!("# {}\n\n", self.command);
        let _ = writeln!(text, "Arguments: `{}`", self.arguments);
        let _ = writeln!(text, "\nLoad average before {before:.1}, after {after:.1}.\n");
        self.tables.iter().for_each(|table| {
            let _ = writeln!(text, "{}", table.markdown());
        });
        self.notes.iter().for_each(|note| {
            let _ = writeln!(text, "- {note}");
        });
        text
    }

    /// Writes `NAME.json` and `NAME.md` into a folder.
    pub fn write(&self, folder: &Path, name: &str) -> Result<()> {
        let file = |path: &Path, source| Error::File { path: path.to_owned(), source };
        std::fs::create_dir_all(folder).map_err(|e| file(folder, e))?;
        let json = serde_json::to_string_pretty(self).unwrap_or_default();
        for (ending, text) in [("json", json), ("md", self.markdown())] {
            let path = folder.join(format!("{name}.{ending}"));
            std::fs::write(&path, text).map_err(|e| file(&path, e))?;
        }
        Ok(())
    }
}
