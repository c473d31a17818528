//! Reads `docs/errors.md`, for tests that compare the page with the errors of the programs.

use std::path::Path;

/// A row of the page.
pub struct Row {
    /// Message of the error, in which `…` stands for variable text.
    message: String,
    /// Help text.
    help: String,
    /// Variant of the error type in the program.
    pub variant: String,
}

/// Returns all rows of the page.
pub fn read() -> Vec<Row> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/errors.md");
    let text = std::fs::read_to_string(path).expect("the page");
    let rows = text.lines().filter(|l| l.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        assert_eq!(cells.len(), 4, "{line}");
        let without_backticks = |cell: &str| cell.trim_matches('`').to_string();
        Row {
            message: without_backticks(cells[0]),
            help: cells[2].to_string(),
            variant: without_backticks(cells[3]),
        }
    };
    rows.map(row).collect()
}

/// Returns whether a text ends with a message of the page, in which `…` stands for any text.
fn ends_with_message(text: &str, message: &str) -> bool {
    let mut rest = text;
    let pieces: Vec<&str> = message.split('…').collect();
    let (last, first) = pieces.split_last().expect("one at the least");
    for piece in first {
        let Some(at) = rest.find(piece) else {
            return false;
        };
        rest = &rest[at + piece.len()..];
    }
    rest.ends_with(last)
}

impl Row {
    /// Returns whether an error with this text and this help is the one of this row. The text may begin with a location.
    pub fn matches(&self, text: &str, help: &str) -> bool {
        self.help == help && ends_with_message(text, &self.message)
    }
}
