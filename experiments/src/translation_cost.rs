//! Measures the cost of protocol translation. The same load passes through the main listener and through further
//! listeners of one router process to one scripted server. The rate and the CPU time of the router are compared.

use crate::error::Error;
use plovercove_emulator::legacy_client::{LegacyClient, ServerMessage};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::server::{
    Answer, LoginMethod, PASSWORD, Server, USER, columns, complete, ready, row,
};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Password of the user `app`.
const APP_PASSWORD: &str = "old but true";
/// Line of the credentials file with the verifier of `app`.
const APP_VERIFIER: &str = "app md5fb55191c9e5b0a66e4856ae386b4139d\n";

/// A combination of listener, protocol version and labels whose cost is measured.
struct ClientPath {
    name: &'static str,
    address: SocketAddr,
    /// Whether the client uses protocol 2.0 instead of 3.0.
    protocol_2: bool,
    /// Whether statements start with labels.
    is_labelled: bool,
}

/// Measured cost of one path.
pub struct Cost {
    /// Name of the path.
    pub name: &'static str,
    /// Requests per second in each round.
    pub rates: Vec<f64>,
    /// CPU time of the router per request in each round (us).
    pub cpu: Vec<f64>,
}

fn config(server: SocketAddr) -> String {
    let node = |name: &str, role: &str| {
        json!({"name": name, "address": server.to_string(), "zone": "z", "type": "k", "group": 2, "status": "active",
               "weight": 1.0, "since_ms": 0, "replication": role})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": [node("p", "primary"), node("r", "standby")]},
        "settings": {"Balancers": 1, "SlotNo": 0, "Tick": 5000, "Discovery": "automatic", "Zone": "z",
            "FamilyInfo": {"ClassRead": ["loose", "update"], "MaxAge": [0, 0], "ServerChecks": "silent",
                "ShowsRole": "delayed", "SessionMarks": "client"},
            "Limits": {"Cancel": true, "ConnIdle": 30_000_000, "DialTimeout": 2_000_000, "MaxAttempts": 6,
                "MaxRetryAfter": 500_000, "Probing": true, "RetryAfter": true, "SecondCopies": false},
            "Profiles": [{"Name": "look", "Aim": 2_000_000, "Deadline": 5_000_000, "Effect": "idempotent"},
                {"Name": "book", "Aim": 2_000_000, "Deadline": 5_000_000, "Effect": "at_most_once"}],
            "Customers": [{"Name": "acme"}], "Report": {"How": "pull", "Names": ["x0", "x1"]},
            "Rules": {"Cold": 1, "ColdShare": 1.0, "DrainGrace": 1_000_000, "OverloadFactor": 4,
                "OverloadFor": 2_000_000, "GraceToAnswer": 20_000}}})
    .to_string()
}

fn start(program: &Path, server: SocketAddr) -> Result<(Process, Folder), Error> {
    let folder = Folder::new("cost")?;
    let write = |name: &str, text: &str| folder.write(name, text);
    write("users", APP_VERIFIER)?;
    write("password", PASSWORD)?;
    let config = write("config.json", &config(server))?;
    let operators = write(
        "operators.star",
        &format!(
            r#"
_front = {{"listen": "127.0.0.1:0", "credentials": "users", "methods": ["md5"], "reads": "look", "writes": "book", "group": 2}}
fronts = [
    dict(_front, name = "plain"),
    dict(_front, name = "forms", bytea = "escape", date_style = "SQL, DMY"),
]
servers = {{"user": "{USER}", "database": "trips", "password_file": "password"}}
"#
        ),
    )?;
    let process = Process::start(program, &config, |command| {
        command.arg("--operators").arg(operators)
    });
    let process = process.map_err(|e| Error::Router {
        name: "n1".into(),
        why: e.to_string(),
    })?;
    Ok((process, folder))
}

/// Returns the CPU time that a process has used (s).
fn cpu(id: u32) -> Result<f64, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name may contain spaces, so the fields are counted from the closing parenthesis. User and system time are
    // the 12th and 13th field after it, in hundredths of a second.
    let mut fields = stat
        .rsplit_once(')')
        .map_or("", |(_, rest)| rest)
        .split_whitespace()
        .skip(11);
    let mut next = || {
        fields
            .next()
            .and_then(|f| f.parse::<f64>().ok())
            .ok_or(Error::Untold("CPU time"))
    };
    Ok((next()? + next()?) / 100.0)
}

/// Runs clients on one path for a time. Returns the number of answered requests.
fn load(path: &ClientPath, clients: usize, duration: Duration) -> Result<u64, Error> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let until = Instant::now() + duration;
    let each = || -> Result<u64, Error> {
        let (mut client, _) =
            LegacyClient::connect(path.address, path.protocol_2, "app", APP_PASSWORD).map_err(
                |source| Error::Client {
                    way: path.name,
                    source,
                },
            )?;
        let mut answered = 0;
        while Instant::now() < until {
            let text = "SELECT body FROM trips WHERE id = '7f'";
            let number = NUMBER.fetch_add(1, Ordering::Relaxed);
            let messages = match path.is_labelled {
                true => client.query(&format!(
                    "/* id={number},c=look,t=acme,d=4000,cluster=2 */ {text}"
                )),
                false => client.query(text),
            };
            let messages = messages.map_err(|source| Error::Client {
                way: path.name,
                source,
            })?;
            if !messages.iter().any(|h| matches!(h, ServerMessage::Row(_))) {
                return Err(Error::Answer {
                    way: path.name,
                    heard: format!("{messages:?}"),
                });
            }
            answered += 1;
        }
        Ok(answered)
    };
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..clients).map(|_| scope.spawn(each)).collect();
        running
            .into_iter()
            .map(|r| r.join().map_err(|_| Error::Panicked)?)
            .sum()
    })
}

/// Measures all paths one after the other, in each of `rounds` rounds.
pub fn measure(
    program: &Path,
    clients: usize,
    duration: Duration,
    rounds: usize,
) -> Result<Vec<Cost>, Error> {
    let value: Vec<u8> = [b"\\x".to_vec(), b"9f41".repeat(64)].concat();
    let answer = [
        columns(&[("body", 17)]),
        row(&[Some(&value)]),
        complete("SELECT 1"),
        ready(b'I'),
    ]
    .concat();
    let server = Server::start(LoginMethod::Md5, 0, move |_| Answer::of(answer.clone()))?;
    let (router, _folder) = start(program, server.address())?;
    let [plain, forms] = *router.fronts() else {
        return Err(Error::Untold("further front"));
    };
    let main_listener = router.listen();
    let path = |name, address, protocol_2, is_labelled| ClientPath {
        name,
        address,
        protocol_2,
        is_labelled,
    };
    let paths = [
        path("platform, 3.0, labels", main_listener, false, true),
        path("front, 3.0, labels", plain, false, true),
        path("front, 3.0, no labels", plain, false, false),
        path("front, 3.0, bytea escaped", forms, false, false),
        path("front, 2.0, no labels", plain, true, false),
        path("front, 2.0, bytea escaped", forms, true, false),
    ];
    let mut costs: Vec<Cost> = paths
        .iter()
        .map(|w| Cost {
            name: w.name,
            rates: Vec::new(),
            cpu: Vec::new(),
        })
        .collect();
    // Round 0 is a warm-up and is not counted.
    for round in 0..=rounds {
        for (path, cost) in paths.iter().zip(&mut costs) {
            let (before, started) = (cpu(router.id())?, Instant::now());
            let answered = load(path, clients, duration)?;
            let (used, took) = (cpu(router.id())? - before, started.elapsed().as_secs_f64());
            if round > 0 && answered > 0 {
                cost.rates.push(answered as f64 / took);
                cost.cpu.push(used * 1e6 / answered as f64);
            }
        }
    }
    Ok(costs)
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Formats the costs as a Markdown table.
pub fn table(costs: &[Cost]) -> String {
    let mut out = String::from(
        "| way | requests/s, median | router's CPU a request (us): median | least | most | over the first |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    let first = costs.first().map_or(f64::NAN, |c| median(&c.cpu));
    for cost in costs {
        let least = cost.cpu.iter().copied().fold(f64::INFINITY, f64::min);
        let most = cost.cpu.iter().copied().fold(0.0, f64::max);
        let (rate, cpu) = (median(&cost.rates), median(&cost.cpu));
        out.push_str(&format!(
            "| {} | {rate:.0} | {cpu:.1} | {least:.1} | {most:.1} | {:+.1} % |\n",
            cost.name,
            (cpu / first - 1.0) * 100.0
        ));
    }
    out
}
