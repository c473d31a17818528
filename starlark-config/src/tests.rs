//! Unit tests of `starlark-config`.

use super::*;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Want {
    spill: f64,
    #[serde(default)]
    zones: Vec<Zone>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zone {
    name: String,
    routers: u32,
}

fn complaint(text: &str) -> String {
    let script = Script::evaluate("ops.star", text);
    script
        .and_then(|s| s.deserialize::<Want>())
        .expect_err("it is wrong")
        .to_string()
}

#[test]
fn variables_are_settings_and_functions_and_private_names_are_not() {
    let text = "def _zone(n):\n    return {\"name\": n, \"routers\": 3}\n_all = [\"a\", \"b\"]\nspill = 0.1 + 0.2\nzones = [_zone(n) for n in _all]\n";
    let script = Script::evaluate("ops.star", text).unwrap_or_else(|e| panic!("{e}"));
    let want: Want = script.deserialize().unwrap_or_else(|e| panic!("{e}"));
    assert!((want.spill - 0.3).abs() < 1e-9);
    assert_eq!(
        (want.zones[1].name.as_str(), want.zones[1].routers),
        ("b", 3)
    );
}

#[test]
fn mistakes_are_named_with_file_line_and_key() {
    let wrong_type = "spill = 0.3\nzones = [\n  {\"name\": \"a\", \"routers\": 1},\n  {\"name\": \"b\",\n   \"routers\": \"many\"},\n]\n";
    let said = complaint(wrong_type);
    assert!(
        said.starts_with("ops.star:") && said.contains("zones[1].routers"),
        "{said}"
    );
    assert!(complaint("spill = 0.3\nspil = 1\n").starts_with("ops.star:2: spil: unknown field"));
    let said = complaint("spill = 0.3\n\nx = 1 +\n");
    assert!(said.starts_with("ops.star:3"), "{said}");
    let said = complaint("spill = nothing\n");
    assert!(
        said.starts_with("ops.star:1") && said.contains("nothing"),
        "{said}"
    );
}

#[test]
fn a_script_that_does_not_end_or_grows_without_bound_is_ended() {
    // Danger: a router whose settings loop would never begin to listen.
    let said = complaint(
        "def f():\n    for a in range(100000):\n        for b in range(100000):\n            pass\nf()\nspill = 0.3\n",
    );
    assert!(
        said.contains("tick") || said.contains("step") || said.contains("imit"),
        "{said}"
    );
    let said = complaint(
        "def f():\n    x = [0]\n    for a in range(60):\n        x = x + x\n    return x\n_y = f()\nspill = 0.3\n",
    );
    assert!(
        said.contains("heap") || said.contains("emory") || said.contains("imit"),
        "{said}"
    );
    let said = complaint("def f(n):\n    return f(n + 1)\nspill = f(0)\n");
    assert!(!said.is_empty());
}
