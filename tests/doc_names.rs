//! The pages name what exists: each identifier and path in backticks stands in the sources, the scripts or the deploy files.
//!
//! A rename in the code that leaves a page behind fails here, with the page, the line and the name.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages that describe the code as it is. Reports of past incidents and of trials keep the names of their time.
const PAGES: [&str; 20] = [
    "README.md",
    "docs/architecture.md",
    "docs/capacity.md",
    "docs/design.md",
    "docs/duties.md",
    "docs/errors.md",
    "docs/fanout.md",
    "docs/gather.md",
    "docs/glossary.md",
    "docs/history.md",
    "docs/operators.md",
    "docs/operators-duties.md",
    "docs/operators-fanout.md",
    "docs/operators-larger-fleet.md",
    "docs/operators-peers.md",
    "docs/operators-translator.md",
    "docs/peers.md",
    "docs/standing.md",
    "docs/translator.md",
    "docs/zones.md",
];

/// Folders and files whose words count as names of the project.
const SOURCES: [&str; 2] = [".ci", "deploy"];

/// Names that a page mentions and that stand nowhere in this repository: of other projects, and of a day of the bench.
const NAMES_OF_OTHERS: [&str; 3] = ["memberlist", "crdts", "throng"];

/// The heading of a table's column that lists former names; its cells are passed over.
const FORMER_NAMES: &str = "before";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder, without build output, the journal, pages and hidden folders.
fn files_below(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of the repository") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let is_passed_over = matches!(&*name, "target" | "journal" | "docs" | "found");
        if path.is_dir() {
            if !is_passed_over && !name.starts_with('.') {
                files_below(&path, files);
            }
        } else if !name.ends_with(".md") && !name.ends_with(".lock") {
            files.push(path);
        }
    }
}

/// All files below a folder of pages.
fn pages_below(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of pages") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            pages_below(&path, pages);
        } else {
            pages.push(path);
        }
    }
}

/// Whole words of letters, digits and underscores.
fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| !c.is_alphanumeric() && c != '_')
        .filter(|word| !word.is_empty())
}

/// What the repository holds: words of its files, and the paths of files and folders.
struct Repository {
    words: BTreeSet<String>,
    paths: BTreeSet<String>,
}

impl Repository {
    fn read() -> Self {
        let mut files = Vec::new();
        files_below(root(), &mut files);
        for folder in SOURCES {
            files_below(&root().join(folder), &mut files);
        }
        let mut found = Repository {
            words: BTreeSet::new(),
            paths: BTreeSet::new(),
        };
        for file in files {
            let relative = file.strip_prefix(root()).expect("below the root");
            for path in relative.ancestors() {
                found.paths.insert(path.to_string_lossy().into_owned());
            }
            let stem = relative.file_stem().unwrap_or_default();
            found.words.insert(stem.to_string_lossy().into_owned());
            if let Ok(text) = fs::read_to_string(&file) {
                found.words.extend(words(&text).map(String::from));
                // Names of enum values outside the process are mostly written in lower case.
                found.words.extend(words(&text).map(str::to_lowercase));
            }
        }
        let mut pages = Vec::new();
        pages_below(&root().join("docs"), &mut pages);
        pages.extend(["README.md", "DEVELOPERS.md", "CHANGELOG.md"].map(|page| root().join(page)));
        for page in pages {
            let relative = page.strip_prefix(root()).expect("below the root");
            for path in relative.ancestors() {
                found.paths.insert(path.to_string_lossy().into_owned());
            }
        }
        found
    }

    fn has_path(&self, path: &str) -> bool {
        let path = path.trim_end_matches('/');
        let end = format!("/{path}");
        self.paths
            .iter()
            .any(|known| known == path || known.ends_with(&end))
    }

    /// Whether a span of a page is no name, or is the name of something that exists.
    fn knows(&self, span: &str) -> bool {
        let is_path = span.contains('/') || span.ends_with(".rs") || span.ends_with(".star");
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "_./-".contains(c);
        if is_path {
            let may_be_checked = span.chars().all(is_plain) && !span.starts_with('/');
            return !may_be_checked || self.has_path(span);
        }
        let name = span.trim_end_matches("()");
        if !name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "_:".contains(c))
        {
            return true;
        }
        words(name).all(|word| self.words.contains(word) || NAMES_OF_OTHERS.contains(&word))
    }
}

/// The spans in backticks of one line.
fn spans(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Where a row's former names stand, if the table that begins with this heading has such a column.
fn column_of_former_names(heading: &str) -> Option<usize> {
    let cells: Vec<&str> = heading.split('|').map(str::trim).collect();
    cells.iter().position(|cell| *cell == FORMER_NAMES)
}

/// The spans of a page with the numbers of their lines, without those in columns of former names and in blocks of code.
fn spans_of_page(text: &str) -> Vec<(usize, &str)> {
    let mut found = Vec::new();
    let mut former_names = None;
    let mut is_in_table = false;
    let mut is_in_block = false;
    for (number, line) in (1..).zip(text.lines()) {
        if line.trim_start().starts_with("```") {
            is_in_block = !is_in_block;
            is_in_table = false;
            continue;
        }
        if is_in_block {
            continue;
        }
        if !line.starts_with('|') {
            is_in_table = false;
            found.extend(spans(line).map(|span| (number, span)));
            continue;
        }
        if !is_in_table {
            former_names = column_of_former_names(line);
            is_in_table = true;
        }
        for (column, cell) in line.split('|').enumerate() {
            if former_names != Some(column) {
                found.extend(spans(cell).map(|span| (number, span)));
            }
        }
    }
    found
}

#[test]
fn names_and_paths_in_backticks_exist() {
    let repository = Repository::read();
    let mut missing = Vec::new();
    for page in PAGES {
        let text = fs::read_to_string(root().join(page)).expect(page);
        for (line, span) in spans_of_page(&text) {
            if !repository.knows(span) {
                missing.push(format!("{page}:{line}: `{span}`"));
            }
        }
    }
    assert!(missing.is_empty(), "no such name:\n{}", missing.join("\n"));
}

#[test]
fn a_name_or_a_path_that_does_not_exist_is_seen() {
    let repository = Repository::read();
    // Put together here, so that no file of the repository holds the name.
    let gone = ["Kept", "Before", "Renaming"].concat();
    assert!(!repository.knows(&gone) && !repository.knows(&format!("{gone}()")));
    assert!(!repository.knows(&format!("Balancer::{gone}")));
    assert!(!repository.knows(&format!("src/{gone}.rs")));
    assert!(repository.knows("Balancer") && repository.knows("src/balancer.rs"));
    assert!(repository.knows("cargo test --workspace"), "no name");
}

#[test]
fn columns_of_former_names_and_blocks_of_code_are_passed_over() {
    let page =
        "`a`\n| now | before |\n| --- | --- |\n| `b` | `c` |\n```\n`d`\n```\n| `e` | `f` |\n";
    let found: Vec<&str> = spans_of_page(page).into_iter().map(|(_, s)| s).collect();
    assert_eq!(found, ["a", "b", "e", "f"]);
}
