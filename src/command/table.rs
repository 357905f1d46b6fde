//! Text tables with aligned columns.

use std::fmt::Write as _;

const COLUMN_GAP: usize = 2;

/// Header and rows of a table. Each column is as wide as its widest cell.
#[derive(Debug)]
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub(super) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![header] }
    }

    pub(super) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    pub(super) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                // Writing to a string cannot fail.
                let _ = write!(line, "{cell:<padded$}", padded = width + COLUMN_GAP);
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}
