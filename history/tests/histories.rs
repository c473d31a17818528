//! Small histories written by hand. Each history in `bad` violates one rule, which is reported with the fewest lines
//! that show it. Each history in `good` resembles a bad one, but without the violation, and passes.

use plovercove_history::{Error, History, ProcessKind, Report, Writer, check_history};
use std::fs;
use std::path::{Path, PathBuf};

/// Name of each bad history, the rule that it violates, and the lines that show it.
const BAD: [(&str, &str, &[usize]); 34] = [
    ("write-ran-twice", "once", &[3, 4]),
    ("write-served-and-never-ran", "once", &[2, 3]),
    ("write-refused-and-ran", "once", &[2, 3, 4]),
    ("two-answers", "answers", &[4, 5]),
    ("no-answer", "answers", &[2]),
    ("unanswered-without-a-blow", "answers", &[4, 5]),
    ("value-of-another", "answers", &[2, 3]),
    ("own-write-not-seen", "own-writes", &[3, 5, 6]),
    (
        "own-older-write-hidden-by-another-session",
        "own-writes",
        &[3, 8, 9],
    ),
    ("read-staler-than-its-class", "stale", &[3, 5, 6]),
    ("token-fell-at-a-place", "token-fell", &[4, 5]),
    ("token-of-two-owners", "token-twice", &[2, 3]),
    ("two-lives-with-one-token", "token-twice", &[2, 3]),
    ("two-owners-at-two-places", "two-owners", &[4, 5]),
    (
        "old-owner-acts-after-its-return-was-granted-anew",
        "two-owners",
        &[3, 5],
    ),
    ("no-token-at-a-fence", "token-none", &[2]),
    ("two-owners-without-tokens", "two-owners", &[3, 4]),
    ("refused-the-newest", "refused", &[3]),
    ("subscription-lost", "lost", &[3, 5]),
    ("subscription-brought-back", "brought-back", &[4, 5]),
    ("moved-subscription-stands-where-it-was", "moved", &[4, 5]),
    ("subscription-of-nobody", "made-up", &[4]),
    ("subscription-twice-in-a-list", "list-twice", &[4]),
    ("old-life-of-a-name-stands", "moved", &[4, 5]),
    ("dead-listener-stays", "brought-back", &[4, 5]),
    ("dead-listener-at-one-gateway", "unequal", &[5, 6]),
    ("news-gap", "gap", &[4, 5]),
    ("news-backwards", "backwards", &[4, 5]),
    ("news-of-an-older-token", "backwards", &[3, 4]),
    ("news-gap-across-tokens", "gap", &[3, 4]),
    ("news-collapsed-too-little", "gap", &[3, 4]),
    ("news-silently-stale", "silently-stale", &[3, 5, 6]),
    ("news-by-two-gateways", "told-twice", &[4, 5]),
    ("merge-in-another-order", "merge", &[4, 5, 6]),
];

/// The same for merged answers, whose bounds are checked after the merge itself.
const BAD_GATHERED: [(&str, &str, &[usize]); 8] = [
    ("merge-that-dropped-a-row", "merge", &[4, 6]),
    ("missing-source-not-named", "missing", &[3]),
    ("source-that-never-sent", "missing", &[3]),
    ("certain-and-wrong", "certain", &[6]),
    ("held-back-and-said-to-be-nothing", "unseen", &[2, 3, 4]),
    ("held-back-before-the-bound", "unseen", &[3, 5, 6]),
    ("sum-outside-its-bounds", "bounds", &[6]),
    ("deduplicated-by-the-older", "merge", &[2, 3, 4]),
];

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/histories")
        .join(name)
}

fn check_file(path: &Path) -> Report {
    check_history(&History::read_files(&[path.into()]).unwrap_or_else(|e| panic!("{e}")))
}

/// Returns the sorted names of the histories in a folder, without extension.
fn names(folder_name: &str) -> Vec<String> {
    let files = fs::read_dir(folder(folder_name))
        .expect("a folder")
        .flatten();
    let mut names: Vec<String> = files
        .filter_map(|f| {
            f.file_name()
                .to_str()?
                .strip_suffix(".jsonl")
                .map(str::to_owned)
        })
        .collect();
    names.sort();
    names
}

#[test]
fn each_bad_history_is_reported_with_its_rule_and_lines() {
    let mut checked: Vec<&str> = Vec::new();
    for (name, rule, lines) in BAD.iter().chain(&BAD_GATHERED) {
        let report = check_file(&folder("bad").join(format!("{name}.jsonl")));
        let [finding] = &report.findings[..] else {
            panic!("{name}: {:#?}", report.findings)
        };
        let cited: Vec<usize> = finding.evidence.iter().map(|c| c.line).collect();
        assert_eq!(
            (finding.rule, &cited[..]),
            (*rule, *lines),
            "{name}: {finding}"
        );
        assert!(
            !finding.subject.is_empty() && !finding.description.is_empty(),
            "{name}: {finding}"
        );
        checked.push(name);
    }
    checked.sort_unstable();
    assert_eq!(checked, names("bad"), "each file has an entry in this test");
}

#[test]
fn each_good_history_passes_and_is_checked() {
    let good = names("good");
    assert!(good.len() > 25);
    for name in good {
        let report = check_file(&folder("good").join(format!("{name}.jsonl")));
        assert!(report.findings.is_empty(), "{name}: {:#?}", report.findings);
        let counts = &report.counts;
        let checked_items = counts.requests
            + counts.effects
            + counts.lists
            + counts.notifications
            + counts.merged_answers;
        assert!(checked_items > 0, "{name}: nothing was checked");
        assert_eq!(
            report.torn.len(),
            usize::from(name == "torn-at-its-end"),
            "{name}"
        );
    }
}

#[test]
fn a_torn_last_line_is_reported_and_causes_no_violation() {
    let text = fs::read_to_string(folder("good").join("torn-at-its-end.jsonl")).expect("a file");
    let scratch = Scratch::new("torn");
    let path = scratch.0.join("torn.jsonl");
    // The file is cut off at each byte, within a line and after a line.
    for cut in 0..text.len() {
        fs::write(&path, &text[..cut]).expect("a file");
        let report = check_file(&path);
        let is_complete = cut > 0 && text[..cut].ends_with('\n');
        assert_eq!(report.torn.len(), usize::from(!is_complete), "{cut}");
    }
}

#[test]
fn an_invalid_line_is_reported_with_file_and_line() {
    let scratch = Scratch::new("bad-line");
    let path = scratch.0.join("one.jsonl");
    let head = "{\"history\":1,\"process\":\"p\",\"kind\":\"client\"}\n";
    let line = "{\"at\":1,\"what\":{\"answered\":{\"id\":\"x\",\"fate\":\"served\"}}}\n";
    for bad in [
        "no json\n",
        "{\"at\":1,\"what\":{\"unheard\":{}}}\n",
        "{\"at\":1,\"more\":2,\"what\":{}}\n",
        "\n",
    ] {
        fs::write(&path, format!("{head}{line}{bad}{line}")).expect("a file");
        let error = History::read(&scratch.0).expect_err("a bad line");
        assert!(
            matches!(&error, Error::Line { path: p, line: 3, .. } if *p == path),
            "{bad:?}: {error}"
        );
        assert!(!error.help().is_empty());
    }
    fs::write(&path, head.replace(":1,", ":99,")).expect("a file");
    assert!(matches!(
        History::read(&scratch.0),
        Err(Error::Form { told: 99, .. })
    ));
    fs::write(&path, head).expect("a file");
    fs::write(scratch.0.join("two.jsonl"), head).expect("a file");
    assert!(matches!(
        History::read(&scratch.0),
        Err(Error::Twice { .. })
    ));
    let empty = Scratch::new("nothing");
    assert!(matches!(
        History::read(&empty.0),
        Err(Error::Nothing { .. })
    ));
    assert!(matches!(
        History::read(&empty.0.join("none")),
        Err(Error::File { .. })
    ));
}

#[test]
fn written_lines_are_read_back() {
    let scratch = Scratch::new("written");
    let good =
        History::read_files(&[folder("good").join("merge-of-two.jsonl")]).expect("a history");
    let writer = Writer::create(&scratch.0, "copy", ProcessKind::Harness).expect("a file");
    assert!(
        matches!(
            Writer::create(&scratch.0, "copy", ProcessKind::Harness),
            Err(Error::File { .. })
        ),
        "an existing file is not overwritten"
    );
    for line in &good.files[0].lines {
        writer.write_line(line).expect("written");
    }
    let again = History::read(&scratch.0).expect("a history");
    assert_eq!(again.files[0].lines, good.files[0].lines);
    assert_eq!(check_history(&again).counts.merged_answers, 1);
}

/// A temporary folder that is removed at the end of a test.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("plovercove-history-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
