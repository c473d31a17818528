//! Tests of the adapter as a process: a malformed line ends it with one line of error text, and standard output contains
//! replies only.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SPAWN: &str = r#"["Spawn",5,{"Balancers":1,"Discovery":"automatic","FamilyInfo":{"BaseTime":0,"ClassRead":["loose"],
"ServerChecks":"reject","ShowsRole":"silent","SessionMarks":"client"},"Limits":{"MaxAttempts":3},"Profiles":[{"Name":"a",
"Aim":100000,"Deadline":500000,"Effect":"idempotent"}],"Report":{"How":"silent"},"Rules":{"Cold":1,"ColdShare":0.2,
"DrainGrace":1,"OverloadFactor":2,"OverloadFor":1000000},"SlotNo":0,"Tick":5000,"Unknown":[1]}]"#;

fn run(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_plovercove-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write may fail, since the adapter stops reading at the first malformed line.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(lines.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn batch(messages: &str) -> String {
    format!("{{\"Wall\":1000,\"routers\":[{{\"Who\":\"router-0\",\"input\":[{messages}]}}]}}\n")
        .replace("\n\"", "\"")
}

#[test]
fn a_request_is_answered_and_unknown_settings_are_ignored() {
    let pool =
        r#"["Pool",0,[["10.0.0.1:1","z","k",0,1,"SERVING",1,null]]],["Members",0,"restored",1]"#;
    let demand = r#"["Demand",9,"a",null,null,400000,null,1,0,0]"#;
    let spawn = SPAWN.replace('\n', "");
    let out = run(&format!(
        "{{\"Wall\":1,\"routers\":[]}}\n{}",
        batch(&format!("{spawn},{pool},{demand}"))
    ));
    let text = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success() && out.stderr.is_empty());
    assert!(text.starts_with("{\"routers\":[]}\n"), "{text}");
    assert!(text.contains(r#"["Send",9,"10.0.0.1:1","#), "{text}");
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error_that_names_it() {
    let spawn = SPAWN.replace('\n', "");
    let after = |message: &str| batch(&format!("{spawn},{message}"));
    let cases = [
        ("nonsense\n".to_string(), "line 1: not a batch"),
        ("[]\n".to_string(), "line 1: batch: expected an object"),
        (
            "{\"routers\":[]}\n".to_string(),
            "Wall: expected a whole number",
        ),
        (batch(r#"["Elapsed","x"]"#), "no Spawn came before it"),
        (after(r#"["Demand",9]"#), "Demand: Qos is missing"),
        (
            after(r#"["Demand","x","a",null,null,4,null,1]"#),
            "Demand Xid: expected a whole number, got \"x\"",
        ),
        (
            after(r#"["Demand",9,"b",null,null,4,null,1]"#),
            "\"b\" is not in the settings",
        ),
        (
            after(r#"["Members",3,"restored",1]"#),
            "no Pool has number 3",
        ),
        (after(r#"["Whatever"]"#), "message \"Whatever\" is unknown"),
        (
            batch(&spawn.replace("\"MaxAttempts\":3", "")),
            "Spawn Facts: Limits.MaxAttempts is missing",
        ),
        (
            batch(&spawn.replace("\"Tick\":5000", "\"Tick\":true")),
            "Tick: expected a whole number, got true",
        ),
    ];
    for (lines, expected) in cases {
        let out = run(&lines);
        let error_text = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success(), "{lines}");
        assert!(
            error_text.contains(expected),
            "{error_text} does not contain {expected}"
        );
        assert_eq!(error_text.lines().count(), 1, "{error_text}");
        assert!(out.stdout.is_empty());
    }
}
