//! Reading a settings file of the usual size: this crate's reader against `serde` with `serde_path_to_error` on
//! simd-json. The types here are the platform's form and nothing more; turning them into the module's `Settings` is left
//! out, so what is measured favours `serde`.

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
struct Told {
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

/// Settings with this many classes and tenants.
fn file(classes: usize, tenants: usize) -> Vec<u8> {
    let each =
        |n: usize, text: &dyn Fn(usize) -> String| (0..n).map(text).collect::<Vec<_>>().join(",");
    let profile = |n: usize| {
        format!(
            r#"{{"Name":"class-{n}","Aim":400000,"Deadline":1000000,"Gain":1.5,"LateWorth":0.5,"Effect":"idempotent"}}"#
        )
    };
    format!(
        r#"{{"Balancers":300,"SlotNo":7,"Tick":5000,"Discovery":"automatic","Zone":"a","FamilyInfo":{{"ClassRead":[{}],
        "MaxAge":[{}],"ServerChecks":"silent","ShowsRole":"delayed","SessionMarks":"client"}},"Limits":{{"Cancel":true,
        "ConnIdle":30000000,"DialTimeout":250000,"MaxAttempts":6,"MaxRetryAfter":500000,"Probing":true,
        "RetryAfter":true,"SecondCopies":true}},"Profiles":[{}],"Customers":[{}],"Report":{{"How":"pull",
        "Names":["x0","x1","inflight","util"]}},"Rules":{{"Cold":10000000,"ColdShare":0.2,"DrainGrace":1000000,
        "OverloadFactor":4,"OverloadFor":2000000,"GraceToAnswer":20000}}}}"#,
        each(classes, &|_| r#""recent""#.into()),
        each(classes, &|_| "3000000".into()),
        each(classes, &profile),
        each(tenants, &|n| format!(r#"{{"Name":"tenant-{n}","AllowancePerS":12.5}}"#)),
    )
    .into_bytes()
}

fn by_hand(json: &[u8]) {
    let value = reader::parse(json.to_vec()).unwrap_or_else(|e| panic!("{e}"));
    black_box(reader::read_settings(&value, "settings.").unwrap_or_else(|e| panic!("{e}")));
}

fn by_serde(json: &[u8]) {
    let mut bytes = json.to_vec();
    let mut from =
        simd_json::Deserializer::from_slice(&mut bytes).unwrap_or_else(|e| panic!("{e}"));
    let told: Result<Told, _> = serde_path_to_error::deserialize(&mut from);
    black_box(told.unwrap_or_else(|e| panic!("{e}")));
}

/// The median of many reads (us), and allocations and bytes of one.
fn measure(name: &str, json: &[u8], read: fn(&[u8])) {
    read(json);
    let region = Region::new(MEMORY);
    read(json);
    let used = region.change();
    let mut took: Vec<f64> = (0..4_001)
        .map(|_| {
            let begun = Instant::now();
            read(json);
            begun.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    took.sort_by(f64::total_cmp);
    let (least, median) = (took[0], took[took.len() / 2]);
    println!(
        "{name}, {} bytes: median {median:.1} us, least {least:.1} us, {} allocations of {} bytes in all",
        json.len(),
        used.allocations + used.reallocations,
        used.bytes_allocated
    );
}

fn main() {
    for (classes, tenants) in [(6, 12), (12, 60)] {
        let json = file(classes, tenants);
        for _ in 0..2 {
            measure("this crate", &json, by_hand);
            measure("serde", &json, by_serde);
        }
    }
}
