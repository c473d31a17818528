//! The failure of a zone on loopback sockets, with emulated nodes and real routers, and the hard cases of the simulation with
//! one seed each.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn experiment(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../experiments")
        .join(name)
}

fn run_program(arguments: &[&str], file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovercove-experiments"));
    command.arg(arguments[0]).arg(file).args(&arguments[1..]);
    command.output().expect("the program starts")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn a_zone_fails_and_returns_on_sockets() {
    // Nodes that return with cold caches could get the full load of their zone at once and fail again, so that the zone would
    // never recover.
    let json = std::env::temp_dir().join(format!("plovercove-sockets-{}.json", std::process::id()));
    let path = json.to_str().expect("a plain path");
    let output = run_program(
        &["sockets", "--json", path],
        &experiment("zones-sockets.star"),
    );
    assert!(
        output.status.success(),
        "a rule was broken: {}",
        text(&output)
    );
    let outcome: Value =
        serde_json::from_slice(&std::fs::read(&json).expect("written")).expect("JSON");
    std::fs::remove_file(&json).expect("just read");
    assert_eq!(
        (&outcome["fallen"], &outcome["twice"]),
        (&Value::from(0), &Value::from(0))
    );
    let seconds: Vec<f64> = outcome["in_time"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(Value::as_f64)
        .collect();
    let mean = |from: usize, to: usize| seconds[from..to].iter().sum::<f64>() / (to - from) as f64;
    // The bounds are wide, because the machine may be busy. Without zone failover a third of the requests would be lost.
    assert!(mean(1, 5) > 0.95, "calm: {seconds:?}");
    assert!(mean(7, 10) > 0.85, "lost: {seconds:?}");
    assert!(mean(14, 24) > 0.95, "back: {seconds:?}");
    // The limit is half of a zone. The figure of a single second may randomly exceed it a little.
    let spilled = outcome["spill_most"].as_f64().expect("a number");
    assert!(spilled > 0.02 && spilled < 0.55, "spilled {spilled}");
}

#[test]
fn no_hard_case_violates_the_rules() {
    let output = run_program(
        &["run", "--variant", "tiers", "--seed", "7", "--strict"],
        &experiment("zones.star"),
    );
    assert!(output.status.success(), "{}", text(&output));
    let table = text(&output);
    for case in [
        "zone-lost",
        "flap-2s",
        "black-hole",
        "one-way-cut",
        "two-zones",
        "list-silent",
        "far-larger",
    ] {
        assert!(
            table.contains(&format!("| {case} | tiers |")),
            "{case} was not played: {table}"
        );
    }
}

#[test]
fn a_hundred_routers_keep_the_rules_when_half_are_killed_and_a_zone_returns() {
    for case in ["calm", "herd", "zone", "join"] {
        let output = run_program(
            &["run", "--case", case, "--seed", "7", "--strict"],
            &experiment("larger-fleet.star"),
        );
        assert!(output.status.success(), "{case}: {}", text(&output));
        assert!(
            text(&output).contains(&format!("| {case} | flat |")),
            "{case} was not played"
        );
    }
}

#[test]
fn the_faults_of_the_whole_fleet_keep_the_rules_at_a_small_size() {
    // 40 routers and 24 nodes, with nodes under new names, groups of different sizes and an overloaded discovery.
    let zones = ["a", "b", "c", "d"]
        .map(|z| format!("{{\"name\":\"{z}\",\"nodes\":6,\"routers\":10}}"))
        .join(",");
    let sets = [
        format!("zones=[{zones}]"),
        "list.calls_per_s=30".into(),
        "clients.load=0.5".into(),
    ];
    let mut arguments = vec!["run", "--seed", "3", "--strict"];
    arguments.extend(sets.iter().flat_map(|set| ["--set", set]));
    let output = run_program(&arguments, &experiment("whole-fleet.star"));
    assert!(output.status.success(), "{}", text(&output));
    for case in ["calm", "roll", "herd", "zone", "split", "join"] {
        assert!(
            text(&output).contains(&format!("| {case} | flat |")),
            "{case} was not played"
        );
    }
}

#[test]
fn an_overloaded_node_that_fails_is_reported_and_fails_a_strict_run() {
    // Proves that the check can fail: the nodes fail at a tenth of their capacity, although the routers know that they have
    // just started.
    let file = std::env::temp_dir().join(format!("plovercove-fall-{}.star", std::process::id()));
    let script = r#"
seconds = 40
zones = [{"name": z, "nodes": 6, "routers": 4} for z in ["a", "b"]]
node = {"cold_from": 0.05, "cold_s": 60, "fall_factor": 0.1}
faults = [{"at": 5, "until": 10, "what": {"zone_down": {"zone": "a"}}}]
"#;
    std::fs::write(&file, script).expect("a folder for temporary files");
    let output = run_program(&["run", "--variant", "strict", "--strict"], &file);
    std::fs::remove_file(&file).expect("just written");
    let output_text = text(&output);
    assert!(
        !output.status.success() && output_text.contains("PushedOver broken"),
        "{output_text}"
    );
    assert!(
        output_text.contains("% from routers that were told of its start"),
        "who pressed it is told: {output_text}"
    );
}

#[test]
fn an_error_in_a_script_is_named() {
    let file = std::env::temp_dir().join(format!("plovercove-wrong-{}.star", std::process::id()));
    for (script, want) in [
        (
            "seconds = 5\nzones = []\n",
            "zones: expected 1 to 20000 nodes",
        ),
        (
            "seconds = 5\nzones = [{\"name\": \"a\", \"nodes\": 6, \"routers\": 1}]\nloud = 3\n",
            ":3: loud: unknown field",
        ),
        (
            "seconds = 5\nzones = [{\"name\": \"a\", \"nodes\": 6}]\n",
            "zones[0]: missing field `routers`",
        ),
        (
            "seconds = 5\nzones = [{\"name\": \"a\", \"nodes\": 6, \"routers\": 1}]\nfaults = [{\"at\": 1, \"until\": 2, \"what\": {\"zone_down\": {\"zone\": \"q\"}}}]\n",
            "there is no zone \"q\"",
        ),
    ] {
        std::fs::write(&file, script).expect("a folder for temporary files");
        let output_text = text(&run_program(&["check"], &file));
        assert!(
            output_text.contains(want),
            "{output_text} instead of {want}"
        );
    }
    std::fs::remove_file(&file).expect("just written");
}
