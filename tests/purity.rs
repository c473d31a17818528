//! The decisions do no I/O and read no clock, so that the router, the simulator and the model drive the same code.
//!
//! Each crate declares its kind in its Cargo.toml. The sources of crates of kind "decisions" are searched for I/O,
//! time, threads and randomness of the standard library, and their dependencies for crates that offer these.

use std::fs;
use std::path::{Path, PathBuf};

/// Paths that the decisions must not use. `std::net` is allowed for addresses only.
const FORBIDDEN_PATHS: [&str; 11] = [
    "std::fs",
    "std::io",
    "std::os",
    "std::env",
    "std::process",
    "std::thread",
    "std::time::Instant",
    "std::time::SystemTime",
    "Instant::now",
    "SystemTime::now",
    "RandomState::new",
];

/// Macros that write to the standard streams.
const FORBIDDEN_MACROS: [&str; 5] = ["print!", "println!", "eprint!", "eprintln!", "dbg!"];

/// Types of `std::net` that open sockets or resolve names.
const FORBIDDEN_SOCKETS: [&str; 5] = [
    "TcpStream",
    "TcpListener",
    "UdpSocket",
    "UnixStream",
    "ToSocketAddrs",
];

/// Dependencies that do I/O, read clocks or get randomness from the system.
const FORBIDDEN_CRATES: [&str; 9] = [
    "polling",
    "socket2",
    "signal-hook",
    "getrandom",
    "mio",
    "tokio",
    "chrono",
    "plovercove-poller",
    "plovercove-emulator",
];

/// Returns a source text without its comments. Strings stay, since no searched word occurs in one.
fn without_comments(text: &str) -> String {
    let code = |line: &str| line.split("//").next().unwrap_or("").to_string();
    text.lines().map(code).collect::<Vec<_>>().join("\n")
}

/// Returns the words of a source text that indicate I/O or a clock.
fn impurities(text: &str) -> Vec<&'static str> {
    let code = without_comments(text);
    let all = FORBIDDEN_PATHS.iter().chain(&FORBIDDEN_MACROS);
    let all = all.chain(&FORBIDDEN_SOCKETS);
    all.copied().filter(|word| code.contains(word)).collect()
}

/// Returns the dependencies of a manifest, without those of tests and build scripts.
fn dependencies(manifest: &str) -> Vec<String> {
    let mut section = "";
    let mut names = Vec::new();
    for line in manifest.lines() {
        if line.starts_with('[') {
            section = line;
        } else if section == "[dependencies]"
            && let Some((name, _)) = line.split_once('=')
        {
            names.push(name.trim().to_string());
        }
    }
    names
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        let is_test = path.ends_with("tests") || path.ends_with("tests.rs");
        if path.is_dir() && !is_test {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") && !is_test {
            found.push(path);
        }
    }
}

/// Returns the folders and manifests of all crates of the workspace of kind "decisions".
fn decision_crates() -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folders = fs::read_dir(root).expect("the workspace").flatten();
    let folders = folders
        .map(|entry| entry.path())
        .chain([root.to_path_buf()]);
    let manifests = folders.filter_map(|folder| {
        let manifest = fs::read_to_string(folder.join("Cargo.toml")).ok()?;
        Some((folder, manifest))
    });
    let is_decisions = |manifest: &str| manifest.contains("kind = \"decisions\"");
    manifests
        .filter(|(_, manifest)| is_decisions(manifest))
        .collect()
}

#[test]
fn decisions_do_no_io_and_read_no_clock() {
    let crates = decision_crates();
    assert!(crates.len() > 5, "crates that say their kind: {crates:?}");
    let mut faults = Vec::new();
    for (folder, manifest) in crates {
        for name in dependencies(&manifest) {
            if FORBIDDEN_CRATES.contains(&name.as_str()) {
                faults.push(format!("{}: depends on {name}", folder.display()));
            }
        }
        let mut files = Vec::new();
        sources(&folder.join("src"), &mut files);
        for file in files {
            let text = fs::read_to_string(&file).expect("a source");
            for word in impurities(&text) {
                faults.push(format!("{}: {word}", file.display()));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn the_search_finds_clocks_files_sockets_and_output_but_not_comments() {
    assert_eq!(impurities("let t = Instant::now();"), ["Instant::now"]);
    assert_eq!(impurities("use std::fs;\nfn f() {}"), ["std::fs"]);
    assert_eq!(impurities("TcpStream::connect(a)"), ["TcpStream"]);
    assert_eq!(impurities("println!(\"x\");"), ["println!"]);
    assert!(impurities("// Instant::now is what this never calls").is_empty());
    assert!(impurities("use std::net::SocketAddr;").is_empty());
    let manifest = "[dependencies]\npolling = \"3\"\n[dev-dependencies]\nsocket2 = \"0.6\"\n";
    assert_eq!(dependencies(manifest), ["polling"]);
}
