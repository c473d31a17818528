//! Unit tests of `config`.

use super::*;

const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
    "limits":{"memory_mb":192,"sockets":1024},"known":{"index":4,"snapshot":true,"endpoints":[]},"settings":{
    "Balancers":1,"Discovery":"automatic","FamilyInfo":{"ClassRead":["loose"],"ServerChecks":"reject",
    "ShowsRole":"silent","SessionMarks":"client"},"Limits":{"MaxAttempts":3},"Profiles":[{"Name":"a","Aim":100000,
    "Deadline":500000,"Effect":"idempotent"}],"Report":{"How":"silent"},"Rules":{"Cold":1,"ColdShare":0.2,
    "DrainGrace":1,"OverloadFactor":2,"OverloadFor":1000000},"SlotNo":0,"Tick":5000}}"#;

#[test]
fn faults_name_the_key() {
    for (from, to, complaint) in [
        ("{\"name\"", "[\"name\"", "not JSON"),
        (
            "127.0.0.1:1",
            "here",
            "listen: expected an address and port, got \"here\"",
        ),
        (
            "\"name\":\"n1\"",
            "\"name\":7",
            "name: expected text, got 7",
        ),
        ("1024", "10", "limits.sockets: expected at least 64"),
        (
            "{\"memory_mb\":192,\"sockets\":1024}",
            "7",
            "limits: expected an object, got 7",
        ),
        (
            "\"memory_mb\":192",
            "\"memory_mb\":1",
            "limits.memory_mb: expected at least 32, got 1",
        ),
        (
            "\"Balancers\":1",
            "\"Balancers\":5000000000",
            "settings.Balancers: expected a whole number under 2^32",
        ),
        (
            "\"sockets\":1024",
            "\"sockets\":\"x\"",
            "limits.sockets: expected a number",
        ),
        (
            "\"endpoints\":[]",
            "\"endpoints\":[{\"status\":3}]",
            "known.endpoints[0].status: expected text, got 3",
        ),
        (
            "\"Tick\":5000",
            "\"Tick\":true",
            "settings.Tick: expected a whole number, got true",
        ),
        (
            "\"MaxAttempts\":3",
            "",
            "settings.Limits.MaxAttempts is missing",
        ),
    ] {
        let fault = from_json(GOOD.replace(from, to).into_bytes(), |_| None)
            .err()
            .expect(complaint);
        assert!(fault.to_string().contains(complaint), "{fault}");
    }
}

#[test]
fn environment_variables_take_precedence_over_the_file() {
    let variables = |name: &str| (name == "PROXY_LISTEN").then(|| "127.0.0.9:9".to_string());
    let config = from_json(GOOD.as_bytes().to_vec(), variables).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        (config.listen.to_string().as_str(), config.name.as_str()),
        ("127.0.0.9:9", "n1")
    );
    assert_eq!(
        (config.seed, config.max_clients, config.max_node_connections),
        (0x8c1f_30d2_7a5b_e964, 500, 500)
    );
}
