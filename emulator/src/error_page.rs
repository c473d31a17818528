//! `docs/errors.md`, for tests that hold it against the program.

use std::path::Path;

/// A row of the page.
pub struct Row {
    /// What one sees.
    message: String,
    /// What to do.
    help: String,
    /// The variant in the program.
    pub variant: String,
}

/// All rows of the page.
pub fn read() -> Vec<Row> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/errors.md");
    let text = std::fs::read_to_string(path).expect("the page");
    let rows = text.lines().filter(|l| l.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        assert_eq!(cells.len(), 4, "{line}");
        let bare = |cell: &str| cell.trim_matches('`').to_string();
        Row {
            message: bare(cells[0]),
            help: cells[2].to_string(),
            variant: bare(cells[3]),
        }
    };
    rows.map(row).collect()
}

/// Whether a text ends as a message of the page does, where `…` stands for anything.
fn ends_as(text: &str, message: &str) -> bool {
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
    /// Whether a fault with this text and this help is the one of this row; a place may stand in front of the text.
    pub fn says(&self, text: &str, help: &str) -> bool {
        self.help == help && ends_as(text, &self.message)
    }
}
