//! Unit tests of `operators`.

use super::*;

fn read(name: &str, text: &str) -> Result<Operators, String> {
    let path = std::env::temp_dir().join(format!("plovercove-{}-{name}.star", std::process::id()));
    std::fs::write(&path, text).expect("a folder for temporary files");
    let read = Operators::read(&path).map_err(|e| e.to_string());
    std::fs::remove_file(&path).expect("just written");
    read
}

const ZONES: &str = "_zones = [\"a\", \"b\"]\ntiers = {\n  \"spill\": 0.3,\n  \"zones\": [{\"name\": z, \"routers\": 2} for z in _zones],\n}\n";

#[test]
fn the_file_must_list_the_routers_own_zone() {
    let operators = read("good", ZONES).unwrap_or_else(|e| panic!("{e}"));
    let in_zone = |zone: &str| Settings {
        zone: zone.into(),
        ..Settings::default()
    };
    assert!(
        operators
            .zone_failover(&in_zone("a"), 1)
            .is_ok_and(|t| t.is_some())
    );
    let fault = operators
        .zone_failover(&in_zone("thu-duc"), 1)
        .err()
        .expect("no such zone")
        .to_string();
    assert!(fault.contains("thu-duc"), "{fault}");
    assert!(
        Operators::default()
            .zone_failover(&in_zone("a"), 1)
            .is_ok_and(|t| t.is_none())
    );
}

const LISTENER: &str = "fronts = [{\n  \"name\": \"old\", \"listen\": \"127.0.0.1:0\", \"methods\": [\"md5\"],\n  \"credentials\": \"USERS\",\n  \"reads\": \"look\", \"writes\": \"book\", \"group\": 2,\n}]\n";

/// Writes a file of secrets with this mode.
fn write_secrets(name: &str, text: &str, mode: u32) -> PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("plovercove-{}-{name}.users", std::process::id()));
    std::fs::write(&path, text).expect("a folder for temporary files");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("its own file");
    path
}

#[test]
fn files_of_secrets_that_others_can_read_are_rejected_and_never_quoted() {
    // Guards against passwords in the log, and against files of secrets that other users of the machine can copy.
    let good = "app md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2\n";
    for (name, text, mode, want) in [
        ("good", good, 0o600, ""),
        ("group", good, 0o640, "its mode must be 600"),
        ("others", good, 0o604, "its mode must be 600"),
        ("plain", "app hunter2\n", 0o600, "line 1: expected md5"),
    ] {
        let users = write_secrets(name, text, mode);
        let fault = read(
            &format!("front-{name}"),
            &LISTENER.replace("USERS", &users.display().to_string()),
        );
        std::fs::remove_file(&users).expect("just written");
        match fault {
            Ok(operators) => assert!(want.is_empty() && operators.fronts.len() == 1, "{name}"),
            Err(fault) => {
                assert!(!want.is_empty() && fault.contains(want), "{name}: {fault}");
                assert!(
                    fault.contains("fronts[0].credentials") && !fault.contains("hunter2"),
                    "{fault}"
                );
            }
        }
    }
}

#[test]
fn a_listener_that_cannot_serve_is_rejected_before_it_listens() {
    let users = write_secrets("front", "app md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2\n", 0o600);
    let listener = LISTENER.replace("USERS", &users.display().to_string());
    for (name, from, to, want) in [
        (
            "trust",
            "[\"md5\"]",
            "[\"trust\", \"md5\"]",
            "fronts[0].methods: with trust",
        ),
        ("none", "[\"md5\"]", "[]", "fronts[0].methods: expected"),
        (
            "method",
            "[\"md5\"]",
            "[\"kerberos\"]",
            "unknown variant `kerberos`",
        ),
        ("listen", "127.0.0.1:0", "nowhere", "fronts[0].listen"),
        (
            "style",
            "\"group\": 2",
            "\"group\": 2, \"date_style\": \"Mars\"",
            "fronts[0].date_style",
        ),
        (
            "logins",
            "\"group\": 2",
            "\"group\": 2, \"logins\": {\"address\": 0}",
            "fronts[0].logins.address",
        ),
    ] {
        let fault = read(&format!("front-{name}"), &listener.replace(from, to)).expect_err(want);
        assert!(fault.contains(want), "{fault} instead of {want}");
    }
    let operators = read("front-class", &listener).unwrap_or_else(|e| panic!("{e}"));
    let path = Path::new("operators.star");
    let fault = operators
        .listeners(path, Some(&Settings::default()))
        .map(|_| ())
        .expect_err("no such class")
        .to_string();
    assert!(
        fault.contains("fronts[0].reads: class \"look\" does not exist"),
        "{fault}"
    );
    let duplicate = Operators {
        fronts: [operators.fronts.clone(), operators.fronts].concat(),
        ..Operators::default()
    };
    assert!(
        duplicate
            .listeners(path, None)
            .is_err_and(|e| e.to_string().contains("another front has it too"))
    );
    std::fs::remove_file(&users).expect("just written");
    let old_version = Operators::connect_options(
        &Operators {
            servers: Some(Servers {
                user: "u".into(),
                database: "d".into(),
                password_file: None,
                clear_text: false,
                version: Version::V2,
                cancel: false,
            }),
            ..Operators::default()
        },
        path,
    );
    assert!(old_version.is_err_and(|e| e.to_string().contains("servers.version")));
}

#[test]
fn faults_name_the_line_and_the_key() {
    for (name, from, to, want) in [
        (
            "spill",
            "0.3",
            "1.3",
            "star:3: tiers.spill: expected a share",
        ),
        (
            "key",
            "\"spill\"",
            "\"spil\"",
            "star:3: tiers.spil: unknown field",
        ),
        (
            "kind",
            "\"routers\": 2",
            "\"routers\": \"two\"",
            "tiers.zones[0].routers: invalid type",
        ),
        ("twice", "\"b\"]", "\"a\"]", "two zones have the same name"),
        ("top", "tiers =", "tier =", "tier: unknown field"),
    ] {
        let fault = read(name, &ZONES.replace(from, to)).expect_err(want);
        assert!(fault.contains(want), "{fault} instead of {want}");
    }
}
