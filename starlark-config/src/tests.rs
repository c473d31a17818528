//! Unit tests of `starlark-config`.

use super::*;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
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

fn error_text(text: &str) -> String {
    let script = Script::evaluate("ops.star", text);
    script
        .and_then(|s| s.deserialize::<Settings>())
        .expect_err("it is wrong")
        .to_string()
}

#[test]
fn variables_are_settings_and_functions_and_private_names_are_not() {
    let text = "def _zone(n):\n    return {\"name\": n, \"routers\": 3}\n_all = [\"a\", \"b\"]\nspill = 0.1 + 0.2\nzones = [_zone(n) for n in _all]\n";
    let script = Script::evaluate("ops.star", text).unwrap_or_else(|e| panic!("{e}"));
    let settings: Settings = script.deserialize().unwrap_or_else(|e| panic!("{e}"));
    assert!((settings.spill - 0.3).abs() < 1e-9);
    assert_eq!(
        (settings.zones[1].name.as_str(), settings.zones[1].routers),
        ("b", 3)
    );
}

#[test]
fn errors_name_the_file_line_and_key() {
    let wrong_type = "spill = 0.3\nzones = [\n  {\"name\": \"a\", \"routers\": 1},\n  {\"name\": \"b\",\n   \"routers\": \"many\"},\n]\n";
    let message = error_text(wrong_type);
    assert!(
        message.starts_with("ops.star:") && message.contains("zones[1].routers"),
        "{message}"
    );
    assert!(error_text("spill = 0.3\nspil = 1\n").starts_with("ops.star:2: spil: unknown field"));
    let message = error_text("spill = 0.3\n\nx = 1 +\n");
    assert!(message.starts_with("ops.star:3"), "{message}");
    let message = error_text("spill = nothing\n");
    assert!(
        message.starts_with("ops.star:1") && message.contains("nothing"),
        "{message}"
    );
}

#[test]
fn endless_and_unbounded_scripts_are_stopped() {
    // Without the bounds, a router with an endless loop in its settings never starts to listen.
    let message = error_text(
        "def f():\n    for a in range(100000):\n        for b in range(100000):\n            pass\nf()\nspill = 0.3\n",
    );
    assert!(
        message.contains("tick") || message.contains("step") || message.contains("imit"),
        "{message}"
    );
    let message = error_text(
        "def f():\n    x = [0]\n    for a in range(60):\n        x = x + x\n    return x\n_y = f()\nspill = 0.3\n",
    );
    assert!(
        message.contains("heap") || message.contains("emory") || message.contains("imit"),
        "{message}"
    );
    let message = error_text("def f(n):\n    return f(n + 1)\nspill = f(0)\n");
    assert!(!message.is_empty());
}
