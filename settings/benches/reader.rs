//! Compares reading a settings file of the usual size with this crate and with `serde` and `serde_path_to_error` on
//! simd-json. The types here mirror the platform's format only. The conversion into the module's `Settings` is left out for
//! `serde`, so the comparison favours `serde`.

use plovercove_settings as reader;
use serde::Deserialize;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static MEMORY: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct SettingsFile {
    balancers: u32,
    slot_no: u32,
    tick: u64,
    discovery: String,
    zone: Option<String>,
    family_info: FamilyInfo,
    limits: Limits,
    profiles: Vec<Profile>,
    customers: Vec<Customer>,
    report: Report,
    rules: Rules,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct FamilyInfo {
    class_read: Vec<String>,
    max_age: Option<Vec<u64>>,
    server_checks: String,
    shows_role: String,
    session_marks: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct Limits {
    cancel: Option<bool>,
    conn_idle: Option<u64>,
    dial_timeout: Option<u64>,
    max_attempts: u32,
    max_retry_after: Option<u64>,
    probing: Option<bool>,
    retry_after: Option<bool>,
    second_copies: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct Profile {
    name: String,
    aim: u64,
    deadline: u64,
    gain: Option<f64>,
    late_worth: Option<f64>,
    effect: String,
    group: Option<String>,
    window: Option<u64>,
    stream: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct Customer {
    name: String,
    allowance_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct Report {
    how: String,
    names: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code)]
struct Rules {
    cold: u64,
    cold_share: f64,
    drain_grace: u64,
    overload_factor: f64,
    overload_for: u64,
    grace_to_answer: Option<u64>,
}

/// Returns a settings file with this many classes and tenants.
fn settings_file(classes: usize, tenants: usize) -> Vec<u8> {
    let join = |index: usize, text: &dyn Fn(usize) -> String| {
        (0..index).map(text).collect::<Vec<_>>().join(",")
    };
    let profile = |index: usize| {
        format!(
            r#"{{"Name":"class-{index}","Aim":400000,"Deadline":1000000,"Gain":1.5,"LateWorth":0.5,"Effect":"idempotent"}}"#
        )
    };
    format!(
        r#"{{"Balancers":300,"SlotNo":7,"Tick":5000,"Discovery":"automatic","Zone":"a","FamilyInfo":{{"ClassRead":[{}],
        "MaxAge":[{}],"ServerChecks":"silent","ShowsRole":"delayed","SessionMarks":"client"}},"Limits":{{"Cancel":true,
        "ConnIdle":30000000,"DialTimeout":250000,"MaxAttempts":6,"MaxRetryAfter":500000,"Probing":true,
        "RetryAfter":true,"SecondCopies":true}},"Profiles":[{}],"Customers":[{}],"Report":{{"How":"pull",
        "Names":["x0","x1","inflight","util"]}},"Rules":{{"Cold":10000000,"ColdShare":0.2,"DrainGrace":1000000,
        "OverloadFactor":4,"OverloadFor":2000000,"GraceToAnswer":20000}}}}"#,
        join(classes, &|_| r#""recent""#.into()),
        join(classes, &|_| "3000000".into()),
        join(classes, &profile),
        join(tenants, &|index| format!(r#"{{"Name":"tenant-{index}","AllowancePerS":12.5}}"#)),
    )
    .into_bytes()
}

fn read_with_this_crate(json: &[u8]) {
    let value = reader::parse(json.to_vec()).unwrap_or_else(|e| panic!("{e}"));
    black_box(reader::read_settings(&value, "settings.").unwrap_or_else(|e| panic!("{e}")));
}

fn read_with_serde(json: &[u8]) {
    let mut bytes = json.to_vec();
    let mut deserializer =
        simd_json::Deserializer::from_slice(&mut bytes).unwrap_or_else(|e| panic!("{e}"));
    let settings: Result<SettingsFile, _> = serde_path_to_error::deserialize(&mut deserializer);
    black_box(settings.unwrap_or_else(|e| panic!("{e}")));
}

/// Prints the median and the minimum duration of many reads (us), and the allocations of one.
fn measure(name: &str, json: &[u8], read: fn(&[u8])) {
    read(json);
    let region = Region::new(MEMORY);
    read(json);
    let allocations = region.change();
    let mut durations: Vec<f64> = (0..4_001)
        .map(|_| {
            let started = Instant::now();
            read(json);
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    durations.sort_by(f64::total_cmp);
    let (minimum, median) = (durations[0], durations[durations.len() / 2]);
    println!(
        "{name}, {} bytes: median {median:.1} us, least {minimum:.1} us, {} allocations of {} bytes in all",
        json.len(),
        allocations.allocations + allocations.reallocations,
        allocations.bytes_allocated
    );
}

fn main() {
    for (classes, tenants) in [(6, 12), (12, 60)] {
        let json = settings_file(classes, tenants);
        for _ in 0..2 {
            measure("this crate", &json, read_with_this_crate);
            measure("serde", &json, read_with_serde);
        }
    }
}
