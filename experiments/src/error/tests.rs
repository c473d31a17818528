//! Unit tests of `error`.

use super::*;
use crate::experiment::Experiment;
use crate::sockets;
use plovercove_emulator::error_page;
use plovercove_simulation::Spec;
use std::collections::BTreeSet;
use std::path::Path;
use strum::VariantNames;

const SMALL: &str = "zones = [{\"name\": z, \"nodes\": 3, \"routers\": 2} for z in [\"a\", \"b\", \"c\"]]\nseconds = 1.0\n";

fn read(more: &str, set: &[&str]) -> Result<Experiment, Error> {
    let path = std::env::temp_dir().join(format!(
        "plovercove-experiments-errors-{}.star",
        std::process::id()
    ));
    std::fs::write(&path, format!("{SMALL}{more}"))?;
    let set: Vec<String> = set.iter().map(ToString::to_string).collect();
    let read = Experiment::read(&path, &set);
    std::fs::remove_file(&path)?;
    read
}

/// Returns the error of running a case on sockets, before any process is started.
fn sockets_error(more: &str) -> Error {
    let experiment = read(more, &[]).unwrap_or_else(|e| panic!("{more}: {e}"));
    let spec: &Spec = &experiment.cases[0].1;
    sockets::run(spec, Path::new("no such program"), 1, |_| {}).expect_err("it cannot be played")
}

#[test]
fn every_error_of_the_program_is_on_the_page_of_errors_with_its_help() {
    let permission_denied = || io::Error::from(io::ErrorKind::PermissionDenied);
    let zone_down = |part: f64| {
        format!(
            "faults = [{{\"at\": 0.1, \"until\": 0.2, \"what\": {{\"zone_down\": {{\"zone\": \"a\", \"part\": {part}}}}}}}]\n"
        )
    };
    let drain = "faults = [{\"at\": 0.1, \"until\": 0.2, \"what\": {\"drain\": {\"zone\": \"a\", \"part\": 0.5}}}]\n";
    let all = [
        Experiment::from_text("none", "x = 1 +")
            .err()
            .expect("no script"),
        read("", &["seconds=-1"]).err().expect("no time"),
        read("", &["seconds"]).err().expect("no value"),
        crate::seeds("4..1").expect_err("backwards"),
        crate::variant("round").expect_err("no way"),
        sockets_error("zones = [{\"name\": \"a\", \"nodes\": 60, \"routers\": 2}]\n"),
        sockets_error(&zone_down(0.5)),
        sockets_error(drain),
        sockets_error(""),
        // These errors need a faulty machine or a router of another build, so they are constructed.
        Error::Model(SpecError("clients.load: expected more".into())),
        Error::NoCase {
            file: "a.star".into(),
            case: "b".into(),
        },
        Error::Rounds,
        Error::NoRouter,
        Error::Trial("interrupted".into()),
        Error::File {
            path: "a.json".into(),
            source: permission_denied(),
        },
        Error::System(permission_denied()),
        Error::Json(serde_json::from_str::<u8>("x").expect_err("no number")),
        Error::Untold("CPU time"),
        Error::Client {
            way: "front",
            source: permission_denied(),
        },
        Error::Answer {
            way: "front",
            heard: "[]".into(),
        },
        Error::Panicked,
    ];
    let page = error_page::read();
    let mut names = BTreeSet::new();
    for fault in &all {
        let name: &'static str = fault.into();
        let (text, help) = (fault.to_string(), fault.help());
        // These two variants forward an error of the script.
        let is_forwarded = matches!(fault, Error::Script(_) | Error::Case { .. });
        let matches_row =
            |row: &&error_page::Row| is_forwarded || row.variant == format!("lab::{name}");
        assert!(
            page.iter()
                .filter(matches_row)
                .any(|row| row.matches(&text, help)),
            "{name}: {text} (help: {help})"
        );
        names.insert(name);
    }
    assert_eq!(
        names,
        Error::VARIANTS.iter().copied().collect(),
        "each variant is produced"
    );
    let rows = page
        .iter()
        .filter(|row| row.variant.starts_with("lab::"))
        .count();
    assert_eq!(rows, Error::VARIANTS.len() - 2, "the page has no other");
}
