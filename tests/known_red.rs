//! The list of tests that are known to fail: CI accepts an entry only if it contains all that is needed to reproduce
//! the failure.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

const VALID_ENTRY: &str =
    "faults a_test | plovercove-experiments faults x.star --case blame | seed 1 | s5 is out | 25";

/// Returns what the reader prints for a list, or the error that it ends with.
fn run_reader(list: &str) -> Result<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut reader = Command::new(root.join(".ci/known-red"))
        .arg("/dev/stdin")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the reader starts");
    let mut input = reader.stdin.take().expect("the reader has an input");
    input
        .write_all(list.as_bytes())
        .expect("the reader accepts the list");
    drop(input);
    let output = reader.wait_with_output().expect("the reader ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if output.status.success() {
        Ok(text(&output.stdout))
    } else {
        Err(text(&output.stderr))
    }
}

/// Returns the error for the valid entry with a part of it replaced.
fn error_with(part: &str, replacement: &str) -> String {
    assert!(VALID_ENTRY.contains(part), "{part}");
    run_reader(&VALID_ENTRY.replace(part, replacement)).expect_err(replacement)
}

#[test]
fn entries_are_parsed_and_comments_skipped() {
    let flaky = "lib a::b | cargo test --lib | no seed | flaky 4 of 72: as told | 38";
    let list = format!("# a comment\n\n{VALID_ENTRY}\n{flaky}\n");
    assert_eq!(
        run_reader(&list).expect("both entries are valid"),
        "faults\ta_test\tred\ts5 is out\t25\nlib\ta::b\tflaky\tflaky 4 of 72: as told\t38\n"
    );
    assert_eq!(run_reader("# nothing\n").expect("an empty list"), "");
}

#[test]
fn a_missing_field_is_rejected_by_name() {
    assert!(error_with(" | 25", "").contains(":1: expected five fields"));
    assert!(error_with("faults a_test", "a_test").contains("test: expected TARGET TEST"));
    assert!(
        error_with("plovercove-experiments faults x.star --case blame", "").contains("command:")
    );
    assert!(error_with("seed 1", "").contains("seed:"));
    assert!(error_with("s5 is out", " ").contains("seen:"));
    assert!(error_with("25", "").contains("issue:"));
}

#[test]
fn an_invalid_field_is_rejected_by_name() {
    assert!(error_with("plovercove-experiments", "see the log of").contains("command:"));
    assert!(error_with("seed 1", "some seed").contains("seed:"));
    assert!(error_with("s5 is out", "flaky: at times").contains("flaky N of M"));
    assert!(error_with("25", "soon").contains("issue: expected a number"));
}

#[test]
fn a_test_listed_twice_is_rejected() {
    let error = run_reader(&format!("{VALID_ENTRY}\n{VALID_ENTRY}\n")).expect_err("twice");
    assert!(
        error.contains(":2: ") && error.contains("listed twice"),
        "{error}"
    );
}
