//! Gossip between router processes: without its block nothing of it exists; faults in the block are reported; keys can be
//! rotated while routers run; and SIGUSR1 logs the state.

use plovercove_emulator::faulty_peers::{Agent, AgentReply};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use serde_json::json;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Time after which a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_plovercove"))
}

fn config(agent: &Agent, name: &str) -> String {
    json!({
        "name": name, "listen": "127.0.0.1:0", "discovery": agent.address().to_string(), "seed": "1",
        "settings": {"Balancers": 2, "SlotNo": 1, "Tick": 5000, "Discovery": "automatic", "Zone": "z",
            "FamilyInfo": {"ClassRead": ["loose"], "MaxAge": [0], "ServerChecks": "silent", "ShowsRole": "delayed",
                "SessionMarks": "client"},
            "Limits": {"MaxAttempts": 3},
            "Profiles": [{"Name": "look", "Aim": 400_000, "Deadline": 1_000_000, "Gain": 1.0, "Effect": "idempotent"}],
            "Report": {"How": "silent"},
            "Rules": {"Cold": 1, "ColdShare": 0.2, "DrainGrace": 1_000_000, "OverloadFactor": 4, "OverloadFor": 2_000_000}}})
    .to_string()
}

fn agent() -> Agent {
    let list = json!({"index": 1, "snapshot": true, "endpoints": []}).to_string();
    Agent::start(vec![AgentReply::Body(list)]).expect("an agent")
}

fn start(folder: &Folder, agent: &Agent, name: &str, operators: Option<&str>) -> Process {
    let file = folder
        .write(&format!("{name}.json"), &config(agent, name))
        .expect("a file");
    let rules = operators.map(|text| folder.write(&format!("{name}.star"), text).expect("a file"));
    let process = Process::start(program(), &file, |command| match &rules {
        Some(path) => command.arg("--operators").arg(path),
        None => command,
    });
    process.expect("the router starts")
}

/// Returns the targets of the descriptors of a process: the numbers of sockets, and the names of all else.
fn descriptors(id: u32) -> Vec<String> {
    let all = std::fs::read_dir(format!("/proc/{id}/fd")).expect("it runs");
    let links = all
        .flatten()
        .filter_map(|fd| std::fs::read_link(fd.path()).ok());
    links.map(|to| to.display().to_string()).collect()
}

/// Returns the number of datagram sockets of a process.
fn datagram_sockets(id: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{id}/net/udp")).expect("a table");
    let numbers: Vec<String> = table
        .lines()
        .filter_map(|line| line.split_whitespace().nth(9))
        .map(|inode| format!("socket:[{inode}]"))
        .collect();
    descriptors(id)
        .iter()
        .filter(|fd| numbers.contains(fd))
        .count()
}

/// Returns whether a process has a handler of SIGUSR1.
fn catches_usr1(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("SigCgt:"))
        .expect("a line of caught signals");
    u64::from_str_radix(line.trim(), 16).expect("a mask") & (1 << 9) != 0
}

/// Writes a key file and returns a `peers` block with more rules.
fn peers_block(folder: &Folder, key: &str, more_rules: &str) -> String {
    folder.write("key", key).expect("a file");
    format!(
        "peers = {{\"listen\": \"127.0.0.1:0\", \"key_file\": \"key\", \"rules\": {{\"installation\": \"here\"{more_rules}}}}}\n"
    )
}

const KEY: &str = "a key of enough bytes\n";

#[test]
fn without_the_block_there_is_no_socket_and_no_signal_handler() {
    // On the platform, routers share nothing, and each additional descriptor counts against a limit.
    let (folder, agent) = (Folder::new("peers-off").expect("a folder"), agent());
    let off = start(&folder, &agent, "off", None);
    let empty = start(&folder, &agent, "empty", Some("tiers = None\n"));
    let on = start(&folder, &agent, "on", Some(&peers_block(&folder, KEY, "")));
    for process in [&off, &empty, &on] {
        assert!(process.wait_for_line("serving", TEST_TIMEOUT).is_some());
    }
    assert!(
        agent.wait_for_calls(3, TEST_TIMEOUT),
        "all have called their agent"
    );
    let count = |p: &Process| descriptors(p.id()).len();
    assert_eq!(
        (
            datagram_sockets(off.id()),
            datagram_sockets(empty.id()),
            datagram_sockets(on.id())
        ),
        (0, 0, 1)
    );
    assert_eq!(
        [&off, &empty, &on].map(|p| catches_usr1(p.id())),
        [false, false, true]
    );
    // Gossip adds two descriptors: the socket, and the write end of the wake-up pipe for SIGUSR1. Each router also has a
    // connection to its agent, which is closed between two calls, so the counts are polled until they agree.
    let until = Instant::now() + TEST_TIMEOUT;
    let counts = || (count(&off), count(&empty), count(&on));
    while !matches!(counts(), (off, empty, on) if (empty, on) == (off, off + 2)) {
        assert!(Instant::now() < until, "{:?}", counts());
        std::thread::sleep(Duration::from_millis(5));
    }
    // The lease tasks use the same socket, and their state is logged only if their block exists.
    let mut with = start(
        &folder,
        &agent,
        "with",
        Some(&(peers_block(&folder, KEY, "") + &duties_block(&["127.0.0.1:9"; 3]))),
    );
    assert!(with.wait_for_line("serving", TEST_TIMEOUT).is_some());
    // The connection to the agent may not be open yet.
    let until = Instant::now() + TEST_TIMEOUT;
    while (datagram_sockets(with.id()), count(&with)) != (1, count(&on)) {
        assert!(Instant::now() < until, "{:?}", descriptors(with.id()));
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut on = on;
    for process in [&mut on, &mut with] {
        process.send_signal(ProcessSignal::LogState);
        assert!(
            process
                .wait_for_line("gossip state", TEST_TIMEOUT)
                .is_some()
        );
    }
    let logs_lease_tasks = |p: &Process| {
        p.lines()
            .iter()
            .any(|l| l.contains("state of the lease tasks"))
    };
    assert_eq!(
        [&off, &empty, &on, &with].map(logs_lease_tasks),
        [false, false, false, true],
        "{:?}",
        with.lines()
    );
}

/// Returns a `duties` block with voters at these addresses, where the port of each is increased by its index.
fn duties_block(voters: &[&str; 3]) -> String {
    let voter = |(n, address): (usize, &&str)| {
        let (host, port) = address.rsplit_once(':').expect("an address");
        let port = port.parse::<usize>().expect("a port") + n;
        format!("{{\"name\": \"d{n}\", \"address\": \"{host}:{port}\"}}")
    };
    let members: Vec<String> = voters.iter().enumerate().map(voter).collect();
    format!(
        "duties = {{\"rules\": {{\"deciders\": {{\"generation\": 1, \"members\": [{}]}}, \"lease_ms\": 2000, \"ask_ms\": 100}}}}\n",
        members.join(", ")
    )
}

#[test]
fn faults_in_a_duties_block_are_reported_with_key_and_help() {
    let folder = Folder::new("duties-check").expect("a folder");
    let check = |text: &str| {
        let path = folder.write("check.star", text).expect("a file");
        let output = Command::new(program())
            .arg("check")
            .arg(path)
            .output()
            .expect("it starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.success(), text)
    };
    let peers = peers_block(&folder, KEY, "").replace("127.0.0.1:0", "127.0.0.1:7001");
    let good = peers.clone() + &duties_block(&["127.0.0.1:9"; 3]);
    let (passes, output) = check(&good);
    assert!(
        passes && output.contains("3 routers vote on leases"),
        "{output}"
    );
    let (passes, output) = check(&duties_block(&["127.0.0.1:9"; 3]));
    assert!(
        !passes
            && output.contains("duties: expected a peers block")
            && output.contains("add a peers block"),
        "{output}"
    );
    for (from, to, want) in [
        (
            ":9\"",
            ":7001\"",
            "duties.file: expected a path, since 127.0.0.1:7001 is listed",
        ),
        (
            "\"lease_ms\": 2000",
            "\"lease_ms\": 10",
            "duties.rules.lease_ms: expected 1000",
        ),
        (
            "\"ask_ms\": 100",
            "\"ask_ms\": 1",
            "duties.rules.ask_ms: expected 20",
        ),
        (
            "\"generation\": 1",
            "\"generation\": 2",
            "duties.rules.deciders.before",
        ),
        (
            "\"d1\"",
            "\"d0\"",
            "duties.rules.deciders.members: d0 is listed twice",
        ),
        (
            "\"ask_ms\": 100}",
            "\"ask_ms\": 100}, \"watch_ms\": 50",
            "duties.watch_ms: expected 100 to 5000, got 50",
        ),
        (
            "\"ask_ms\": 100}",
            "\"ask_ms\": 100}, \"fanout\": {\"renew_ms\": 1}",
            "duties.fanout.renew_ms",
        ),
        (
            "\"ask_ms\": 100",
            "\"ask_ms\": 100, \"datagrams_per_s\": 90",
            "duties.rules.datagrams_per_s: expected no more than peers",
        ),
        (
            "\"ask_ms\": 100}",
            "\"ask_ms\": 100}, \"owner\": 1",
            "unknown field",
        ),
    ] {
        assert!(good.contains(from), "{from}");
        let (passes, output) = check(&good.replace(from, to));
        assert!(
            !passes && output.contains(want),
            "{output} instead of {want}"
        );
    }
}

#[test]
fn faults_in_a_peers_block_are_reported_with_key() {
    let folder = Folder::new("peers-check").expect("a folder");
    let good = peers_block(&folder, KEY, "");
    let check = |text: &str| {
        let path = folder.write("check.star", text).expect("a file");
        let output = Command::new(program())
            .arg("check")
            .arg(path)
            .output()
            .expect("it starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.success(), text)
    };
    let (passes, output) = check(&good);
    assert!(
        passes
            && output.contains("routers of the installation here exchange gossip at 127.0.0.1:0"),
        "{output}"
    );
    for (from, to, want) in [
        ("\"here\"", "\"\"", "peers.rules.installation"),
        (
            "\"here\"",
            "\"here\", \"probe_ms\": 1",
            "peers.rules.probe_ms: expected 50 to 60000, got 1",
        ),
        (
            "\"here\"",
            "\"here\", \"answer_ms\": 900",
            "peers.rules.answer_ms",
        ),
        ("\"here\"", "\"here\", \"fanout\": 0", "peers.rules.fanout"),
        (
            "\"here\"",
            "\"here\", \"evidence_s\": 0.1",
            "evidence_s: expected 1 to 600",
        ),
        (
            "\"here\"",
            "\"here\", \"datagrams_per_s\": 2",
            "peers.rules.datagrams_per_s",
        ),
        ("\"here\"", "\"here\", \"gossip\": 2", "unknown field"),
        (
            "127.0.0.1:0",
            "0.0.0.0:0",
            "peers.advertise: expected the address",
        ),
        ("\"key\"", "\"nokey\"", "peers.key_file"),
    ] {
        let (passes, output) = check(&good.replace(from, to));
        assert!(
            !passes && output.contains(want),
            "{output} instead of {want}"
        );
    }
    let short = peers_block(&folder, "short", "");
    let (passes, output) = check(&short);
    assert!(
        !passes && output.contains("peers.key_file: expected a key of 16 bytes"),
        "{output}"
    );
    use std::os::unix::fs::PermissionsExt;
    folder.write("key", KEY).expect("a file");
    let key = folder.path().join("key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).expect("its own file");
    let (passes, output) = check(&good);
    assert!(
        !passes && output.contains("its mode must be 600"),
        "{output}"
    );
}

#[test]
fn a_key_rotation_keeps_two_routers_connected() {
    // A key rotation happens one router at a time, so routers with the old and the new key must accept each other meanwhile.
    let (folder, agent) = (Folder::new("peers-keys").expect("a folder"), agent());
    agent.push_reply(AgentReply::Silence);
    let fast = ", \"probe_ms\": 200, \"answer_ms\": 60, \"suspect_ms\": 600, \"gossip_ms\": 60, \"repair_ms\": 200, \"datagrams_per_s\": 200";
    let one = start(
        &folder,
        &agent,
        "one",
        Some(&peers_block(&folder, KEY, fast)),
    );
    let line = one
        .wait_for_line("gossip with other routers is enabled", TEST_TIMEOUT)
        .expect("gossip starts");
    let address = line
        .split("advertise=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next())
        .expect("an address");
    let with_seed = format!("{fast}, \"seeds\": [\"{address}\"]");
    let mut two = start(
        &folder,
        &agent,
        "two",
        Some(&peers_block(&folder, KEY, &with_seed)),
    );
    let mut one = one;
    for process in [&one, &two] {
        assert!(
            process.wait_for_line("seen=2", TEST_TIMEOUT).is_some(),
            "{:?}",
            process.lines()
        );
    }
    // First both routers accept the new key as a second one, then both use it and accept the old one.
    folder
        .write("new", "another key, long enough too\n")
        .expect("a file");
    let steps = [("key", "new"), ("new", "key")];
    for (key_file, second_key_file) in steps {
        for (name, process) in [("one", &mut one), ("two", &mut two)] {
            let more_rules = if name == "one" { fast } else { &with_seed };
            let text = format!(
                "peers = {{\"listen\": \"127.0.0.1:0\", \"key_file\": \"{key_file}\", \"also_key_file\": \"{second_key_file}\", \"rules\": {{\"installation\": \"here\"{more_rules}}}}}\n"
            );
            folder
                .write(&format!("{name}.star"), &text)
                .expect("a file");
            let before = process.lines().len();
            process.send_signal(ProcessSignal::Reload);
            let is_applied = || {
                process
                    .since(before)
                    .iter()
                    .any(|l| l.contains("operators' file was taken over"))
            };
            let until = Instant::now() + TEST_TIMEOUT;
            while !is_applied() {
                assert!(Instant::now() < until, "{:?}", process.since(before));
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        // Neither router considers the other one down over some probes.
        let lone_counts = |p: &Process| p.lines().iter().filter(|l| l.contains("seen=1")).count();
        let before = (lone_counts(&one), lone_counts(&two));
        for process in [&mut one, &mut two] {
            let lines = process.lines().len();
            process.send_signal(ProcessSignal::LogState);
            let until = Instant::now() + TEST_TIMEOUT;
            let is_logged = |p: &Process| {
                p.since(lines)
                    .iter()
                    .any(|l| l.contains("belief") && l.contains("seen=2"))
            };
            while !is_logged(process) {
                assert!(Instant::now() < until, "{:?}", process.lines());
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        assert_eq!(
            before,
            (lone_counts(&one), lone_counts(&two)),
            "a router considered the other one down"
        );
        assert!(
            !one.lines()
                .iter()
                .chain(&two.lines())
                .any(|l| l.contains("why=\"tag\"")),
            "{:?}",
            one.lines()
        );
    }
    two.send_signal(ProcessSignal::Term);
    assert!(
        two.wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
    // The other router sees a member that leaves as down at once.
    assert!(
        one.wait_for_line("a router is down", TEST_TIMEOUT)
            .is_some()
    );
}
