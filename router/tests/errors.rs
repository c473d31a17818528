//! Compares `docs/errors.md` with the program: every variant of every error that operators see is produced here and must be
//! on the page with its text and its help, and the page must not have any other.

use plovercove::Settings;
use plovercove_emulator::error_page::{self, Row};
use plovercove_gossip::{Keys, Rules as PeerRules};
use plovercove_locality::{Rules as TierRules, ZoneFailover};
use plovercove_pgwire::login::LoginError;
use plovercove_pgwire::login_rate_limit;
use plovercove_pgwire::verifier::{MAX_USERS, Users};
use plovercove_router::error::KeyFaultCause;
use plovercove_router::operators::{Operators, OperatorsFile};
use plovercove_router::{Error, config, statement_labels};
use plovercove_settings as settings;
use plovercove_starlark_config::{Cause, Script, ScriptError};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};
use strum::VariantNames;

/// A produced error: its variant, its text and its help.
struct Produced(String, String, &'static str);

fn produce<'a, E: std::fmt::Display>(prefix: &str, fault: &'a E, help: &'static str) -> Produced
where
    &'static str: From<&'a E>,
{
    Produced(
        format!("{prefix}::{}", <&'static str>::from(fault)),
        fault.to_string(),
        help,
    )
}

/// A temporary folder that is deleted when this value is dropped.
struct Files(PathBuf);

impl Files {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("plovercove-errors-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for temporary files");
        Files(folder)
    }

    fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("its own folder");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode))
            .expect("its own file");
        path
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{
    "Balancers":1,"Discovery":"automatic","FamilyInfo":{"ClassRead":["loose"],"ServerChecks":"reject",
    "ShowsRole":"silent","SessionMarks":"client"},"Limits":{"MaxAttempts":3},"Profiles":[{"Name":"a","Aim":100000,
    "Deadline":500000,"Effect":"idempotent"}],"Report":{"How":"silent"},"Rules":{"Cold":1,"ColdShare":0.2,
    "DrainGrace":1,"OverloadFactor":2,"OverloadFor":1000000},"SlotNo":0,"Tick":5000}}"#;

fn produce_settings_errors(all: &mut Vec<Produced>) {
    let part = json!({"word": "odd"}).to_string();
    let value = settings::parse(part.into_bytes()).expect("JSON");
    let part = settings::Section::new(&value, "top.");
    let faults = [
        settings::parse(b"{".to_vec()).err(),
        settings::unsigned(&value, "top").err(),
        part.required("none", settings::text).err(),
        part.one_of("word", &[("even", ())]).err(),
        Some(settings::Fault::new("known.at: expected the present")),
        Some(settings::Fault::Missing("a".into()).within("line 3")),
    ];
    for fault in faults.iter().map(|f| f.as_ref().expect("a fault")) {
        all.push(produce("settings", fault, fault.help()));
    }
}

fn produce_script_errors(all: &mut Vec<Produced>, files: &Files) {
    let wrong = |text: &str| Script::evaluate("ops.star", text).expect_err("it is wrong");
    let long = files.write("long.star", &"#".repeat(1024 * 1024 + 1), 0o600);
    let grows = "def f():\n    x = [0]\n    for a in range(60):\n        x = x + x\n    return x\n_y = f()\n";
    let good = Script::evaluate("ops.star", "tiers = 3\ntier = 4\n").expect("a script");
    let faults: [ScriptError; 7] = [
        Script::read(&files.0.join("none.star")).expect_err("it is not there"),
        Script::read(&long).expect_err("it is too long"),
        wrong("x = 1 +\n"),
        wrong(grows),
        wrong("x = [len]\n"),
        good.deserialize::<Operators>().expect_err("an unknown key"),
        good.error_at("tier", "expected less"),
    ];
    for fault in &faults {
        all.push(produce("script", &fault.cause, fault.help()));
        assert!(
            fault.to_string().ends_with(&fault.cause.to_string()),
            "{fault}"
        );
    }
    // Producing this error would take more memory than tests may use.
    all.push(produce(
        "script",
        &Cause::BeyondLimits,
        Cause::BeyondLimits.help(),
    ));
}

fn produce_zone_errors(all: &mut Vec<Produced>) {
    let zone =
        |name: &str, prefer: &[&str]| json!({"name": name, "routers": 1, "prefer": [prefer]});
    for rules in [
        json!({"zones": []}),
        json!({"zones": [zone("a", &[]), zone("a", &[])]}),
        json!({"zones": [zone("", &[])]}),
        json!({"zones": [zone("a", &["b"])]}),
        json!({"zones": [zone("a", &["a"])]}),
        json!({"zones": [zone("a", &[])], "home": "b"}),
        json!({"zones": [zone("a", &[])], "spill": 2.0}),
        json!({"zones": [zone("a", &[])]}),
    ] {
        let rules: TierRules = serde_json::from_value(rules).expect("rules");
        let fault = ZoneFailover::new(rules, &Settings::default(), 1)
            .err()
            .expect("a fault");
        all.push(produce("tiers", &fault.kind, fault.help()));
    }
}

fn produce_gossip_errors(all: &mut Vec<Produced>) {
    let mut faults = vec![Keys::new("here", b"short", None).err().expect("too short")];
    let seeds = vec!["127.0.0.1:1"; 65];
    for rules in [
        json!({"installation": ""}),
        json!({"installation": "i", "probe_ms": 1}),
        json!({"installation": "i", "evidence_s": 0.5}),
        json!({"installation": "i", "seeds": seeds}),
    ] {
        let mut rules: PeerRules = serde_json::from_value(rules).expect("rules");
        rules.routers = 3;
        faults.push(rules.check().expect_err("a fault"));
    }
    for fault in &faults {
        all.push(produce("peers", fault, fault.help()));
    }
    use plovercove_gossip::DatagramFault::*;
    for fault in [
        Foreign, Version, Tag, Malformed, Replayed, OldLife, Own, TooMuch,
    ] {
        let name: &'static str = (&fault).into();
        all.push(Produced(
            format!("datagram::{name}"),
            fault.label().into(),
            fault.help(),
        ));
    }
}

fn produce_pgwire_errors(all: &mut Vec<Produced>) {
    const MD5: &str = "md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2";
    let many: String = (0..=MAX_USERS).map(|n| format!("u{n} {MD5}\n")).collect();
    let wrong = |text: &str| Users::parse(text).expect_err("it is wrong");
    let limits = login_rate_limit::Rules {
        address: 0,
        ..login_rate_limit::Rules::default()
    };
    for fault in [
        wrong("app"),
        wrong("app hunter2"),
        wrong(&format!("app {MD5}\napp {MD5}\n")),
        wrong(&many),
        limits.check().expect_err("none"),
    ] {
        all.push(produce("dialect", &fault, fault.help()));
    }
    // The tests of `plovercove-pgwire` produce these with a server.
    for login_error in [
        LoginError::Server("28P01".into()),
        LoginError::CannotMeet("the server wants a clear password".into()),
        LoginError::Malformed,
    ] {
        all.push(produce("login", &login_error, login_error.help()));
    }
}

fn produce_label_errors(all: &mut Vec<Produced>) {
    let many_labels: String = (0..40).map(|number| format!("a{number}=,")).collect();
    let many_labels = format!("/* {many_labels}id=1 */");
    for text in [
        "SELECT 1",
        "/* id=1",
        "/**/ SELECT 1",
        "/* c=a,d=x,cluster=1 */",
        "/* id=1,id=2 */",
        "/* id=a b */",
        "/* c=a,cluster=1,d=5 */",
        &many_labels,
    ] {
        let fault = statement_labels::read_labels(text).expect_err(text);
        all.push(produce("labels", &fault, fault.help()));
    }
}

/// Starts the program with these variables and returns its output.
fn start(variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovercove"));
    command
        .env_remove("PROXY_CONFIG")
        .envs(variables.iter().copied());
    command.output().expect("the program starts")
}

fn produce_router_errors(all: &mut Vec<Produced>, files: &Files) {
    let read = |text: &str| {
        config::read_file(&files.write("c.json", text, 0o600))
            .err()
            .expect("a fault")
    };
    let inner = |fault: Error| match fault {
        Error::In { fault, .. } => *fault,
        other => other,
    };
    let good = files.write("good.json", GOOD, 0o600);
    let bound_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let bound_listener = bound_listener
        .local_addr()
        .map(|a| (a, bound_listener))
        .expect("its address");
    let address_in_use = || io::Error::from(io::ErrorKind::AddrInUse);
    let listen = Error::Listen {
        address: bound_listener.0,
        what: "clients",
        source: address_in_use(),
    };
    let level = Error::Level("loud".into());
    // The program must print the help with the error, which only a complete start shows.
    let path = good.to_str().expect("a plain path");
    for (fault, variables) in [
        (&Error::NoConfig, vec![]),
        (&level, vec![("PROXY_CONFIG", path), ("PROXY_LOG", "loud")]),
        (
            &listen,
            vec![
                ("PROXY_CONFIG", path),
                ("PROXY_LISTEN", &bound_listener.0.to_string()),
            ],
        ),
    ] {
        let output = start(&variables);
        let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
        let text = fault.to_string();
        let expected_start = text
            .rsplit_once(": ")
            .filter(|_| text.contains("listen at"))
            .map_or(&*text, |(t, _)| t);
        assert!(
            !output.status.success() && output_text.contains(expected_start),
            "{output_text} instead of {text}"
        );
        assert!(
            output_text.contains(&format!("(help: {})", fault.help())),
            "{output_text}"
        );
    }
    for fault in [
        Error::NoConfig,
        level,
        listen,
        config::read_file(&files.0.join("none.json"))
            .err()
            .expect("it is not there"),
        read("{"),
        inner(read(&GOOD.replace("127.0.0.1:1", "here"))),
        inner(read(
            &GOOD.replace("\"seed\":\"1\"", "\"limits\":{\"sockets\":10}"),
        )),
        inner(read("[]")),
        Operators::read(&files.write("o.star", "x = 1 +", 0o600)).expect_err("no script"),
        Operators::read(&files.write("o.star", "tiers = {\"zones\": []}", 0o600))
            .expect_err("no zones"),
        // These errors occur if the process cannot open more files, and then the tests could not run either.
        Error::Signals(address_in_use()),
        Error::Loop(address_in_use()),
    ] {
        all.push(produce("router", &fault, fault.help()));
    }
}

fn produce_operators_errors(all: &mut Vec<Produced>, files: &Files) {
    const USERS: &str = "app md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2\n";
    files.write("users", USERS, 0o600);
    files.write("open", USERS, 0o644);
    files.write("plain", "app hunter2\n", 0o600);
    files.write("key", "short", 0o600);
    let long = std::fs::OpenOptions::new()
        .write(true)
        .open(files.write("long", "", 0o600));
    long.and_then(|file| file.set_len(64 * 1024 * 1024 + 1))
        .expect("a sparse file");
    let front = json!({"name": "f", "listen": "127.0.0.1:0", "methods": ["md5"], "credentials": "users",
                       "reads": "a", "writes": "a", "group": 1});
    let with = |key: &str, value: Value| {
        let mut front = front.clone();
        front[key] = value;
        json!({"fronts": [front]})
    };
    let peers = json!({"listen": "127.0.0.1:0", "key_file": "key", "rules": {"installation": "i"}});
    let anywhere =
        json!({"listen": "0.0.0.0:7", "key_file": "key", "rules": {"installation": "i"}});
    let without = {
        let mut front = front.clone();
        front
            .as_object_mut()
            .expect("an object")
            .remove("credentials");
        json!({"fronts": [front]})
    };
    let settings = config::read_file(&files.write("good.json", GOOD, 0o600))
        .expect("good")
        .settings;
    for content in [
        with("credentials", json!("none")),
        with("credentials", json!("open")),
        with("credentials", json!("long")),
        with("credentials", json!("plain")),
        with("logins", json!({"address": 0})),
        json!({"tiers": {"zones": []}}),
        json!({"peers": peers}),
        json!({"peers": anywhere}),
        json!({"duties": {"rules": {}}}),
        with("methods", json!([])),
        with("methods", json!(["trust", "md5"])),
        without,
        with("clients", json!(0)),
        with("name", json!("")),
        with("date_style", json!("Mars")),
        json!({"fronts": [front, front]}),
        json!({"servers": {"user": "u", "database": "d", "version": "2.0"}}),
        with("reads", json!("b")),
        with("reads", json!("a")),
    ] {
        let lines = content
            .as_object()
            .expect("an object")
            .iter()
            .map(|(key, value)| format!("{key} = {value}\n"));
        let path = files.write("ops.star", &lines.collect::<String>(), 0o600);
        let read = OperatorsFile {
            path,
            settings: settings.clone(),
            seed: 1,
        }
        .read();
        let fault = read.err().unwrap_or_else(|| panic!("{content} is good"));
        let (text, help) = (fault.to_string(), fault.help());
        let Error::Operators { location, cause } = fault else {
            panic!("{text}")
        };
        assert!(
            location.file.ends_with("ops.star")
                && location.line.is_some()
                && !location.key.is_empty(),
            "{text}"
        );
        let Produced(variant, ..) = produce("operators", &cause, help);
        all.push(Produced(variant, text, help));
    }
    let guard = KeyFaultCause::NoGuard("none".into());
    all.push(produce("operators", &guard, guard.help()));
}

/// Errors that wrap another one and add a location: they have the text and the help of the inner error.
const WRAPPERS: [&str; 9] = [
    "settings::Within",
    "router::In",
    "router::Setting",
    "router::Script",
    "router::Operators",
    "operators::Users",
    "operators::Logins",
    "operators::Locality",
    "operators::Peers",
];

#[test]
fn the_page_of_errors_is_complete_and_has_no_other_errors() {
    let files = Files::new("page");
    let mut all = Vec::new();
    produce_settings_errors(&mut all);
    produce_script_errors(&mut all, &files);
    produce_zone_errors(&mut all);
    produce_gossip_errors(&mut all);
    produce_pgwire_errors(&mut all);
    produce_label_errors(&mut all);
    produce_router_errors(&mut all, &files);
    produce_operators_errors(&mut all, &files);
    let page = error_page::read();
    for Produced(variant, text, help) in &all {
        let is_wrapper = WRAPPERS.contains(&variant.as_str());
        let is_of_variant = |row: &&Row| is_wrapper || row.variant == *variant;
        let fits = |row: &Row| row.matches(text, help);
        assert!(
            page.iter().filter(is_of_variant).any(fits),
            "{variant}: not on the page: {text} (help: {help})"
        );
        assert!(help.len() > 20, "{variant}: the help is too short: {help}");
    }
    let named = |prefix: &str, names: &[&str]| -> Vec<String> {
        names
            .iter()
            .map(|name| format!("{prefix}::{name}"))
            .collect()
    };
    let variants: BTreeSet<String> = [
        named("settings", settings::Fault::VARIANTS),
        named("script", Cause::VARIANTS),
        named("tiers", plovercove_locality::RuleFaultKind::VARIANTS),
        named("peers", plovercove_gossip::Error::VARIANTS),
        named("datagram", plovercove_gossip::DatagramFault::VARIANTS),
        named("dialect", plovercove_pgwire::Error::VARIANTS),
        named("login", LoginError::VARIANTS),
        named("router", Error::VARIANTS),
        named("operators", KeyFaultCause::VARIANTS),
        named("labels", statement_labels::Mislabelled::VARIANTS),
    ]
    .concat()
    .into_iter()
    .collect();
    let produced: BTreeSet<String> = all
        .into_iter()
        .map(|Produced(variant, ..)| variant)
        .collect();
    assert_eq!(produced, variants, "each variant is produced, and no other");
    let mut rows: Vec<&str> = page.iter().map(|row| row.variant.as_str()).collect();
    // A test of `plovercove-experiments` compares its own errors with the page.
    rows.retain(|row| !row.starts_with("lab::"));
    let wanted: Vec<&str> = variants
        .iter()
        .map(String::as_str)
        .filter(|v| !WRAPPERS.contains(v))
        .collect();
    rows.sort_unstable();
    assert_eq!(
        rows, wanted,
        "each variant stands on the page once, and no other"
    );
}
