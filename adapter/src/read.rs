//! The words of the wire as settings and events, and plain complaints about what is malformed.

use plovercove::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// What is wrong with the input, and where.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    pub fn new(text: impl Into<String>) -> Self {
        Fault(text.into())
    }

    pub fn within(self, place: &str) -> Self {
        Fault(format!("{place}: {}", self.0))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

type Read<T> = Result<T, Fault>;

/// What the wire's names of classes and tenants, and its report columns, stand for at one instance.
pub struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
    zero: u64,
    report: Vec<String>,
}

impl Names {
    /// The numbers that the settings give to names.
    pub fn of(settings: &Spawned) -> Self {
        let numbered = |names: Vec<&String>| names.into_iter().cloned().zip(0..).collect();
        Names {
            classes: numbered(settings.settings.classes.iter().map(|c| &c.name).collect()),
            tenants: numbered(settings.settings.tenants.iter().map(|t| &t.name).collect()),
            zero: settings.zero,
            report: settings.report.clone(),
        }
    }
}

/// Settings for the module, and what only the translation needs.
pub struct Spawned {
    pub settings: Settings,
    zero: u64,
    report: Vec<String>,
}

/// One message of a batch.
pub enum Incoming {
    Pool(u64, Vec<NodeEntry>),
    Spawn(u64, Box<Spawned>),
    Exit,
    Event(Event),
}

fn bad(what: &str, want: &str, got: &Value) -> Fault {
    let mut shown: String = got.to_string();
    if shown.chars().count() > 60 {
        shown = shown.chars().take(60).collect::<String>() + "...";
    }
    Fault(format!("{what}: expected {want}, got {shown}"))
}

fn whole(value: &Value, what: &str) -> Read<u64> {
    let as_float =
        || value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1.8e19).contains(f)).map(|f| f as u64);
    value.as_u64().or_else(as_float).ok_or_else(|| bad(what, "a whole number", value))
}

fn number(value: &Value, what: &str) -> Read<f64> {
    value.as_f64().ok_or_else(|| bad(what, "a number", value))
}

fn text<'a>(value: &'a Value, what: &str) -> Read<&'a str> {
    value.as_str().ok_or_else(|| bad(what, "text", value))
}

fn flag(value: &Value, what: &str) -> Read<bool> {
    value.as_bool().ok_or_else(|| bad(what, "true or false", value))
}

fn list<'a>(value: &'a Value, what: &str) -> Read<&'a Vec<Value>> {
    value.as_array().ok_or_else(|| bad(what, "a list", value))
}

/// Reads one batch line.
pub fn batch(line: &str) -> Read<Value> {
    let value: Value = serde_json::from_str(line).map_err(|e| Fault(format!("not a batch: {e}")))?;
    if !value.is_object() {
        return Err(bad("batch", "an object", &value));
    }
    Ok(value)
}

/// The clock of a batch.
pub fn clock(batch: &Value) -> Read<u64> {
    whole(&batch["Wall"], "Wall")
}

/// The instances of a batch with their input.
pub fn routers(batch: &Value) -> Read<Vec<(&str, &Vec<Value>)>> {
    clock(batch)?;
    let groups = list(&batch["routers"], "routers")?;
    let mut found = Vec::with_capacity(groups.len());
    for group in groups {
        let who = text(&group["Who"], "Who")?;
        found.push((who, list(&group["input"], "input").map_err(|fault| fault.within(who))?));
    }
    Ok(found)
}

/// The fields of one message, by place.
struct Fields<'a> {
    kind: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn at(&self, place: usize, name: &str) -> Read<&'a Value> {
        self.values.get(place).ok_or_else(|| Fault(format!("{}: {name} is missing", self.kind)))
    }

    fn get<T>(&self, place: usize, name: &str, as_kind: impl Fn(&'a Value, &str) -> Read<T>) -> Read<T> {
        as_kind(self.at(place, name)?, &format!("{} {name}", self.kind))
    }

    /// A field that may be null or left out.
    fn maybe<T>(
        &self, place: usize, name: &str, as_kind: impl Fn(&'a Value, &str) -> Read<T>,
    ) -> Read<Option<T>> {
        match self.values.get(place) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => as_kind(value, &format!("{} {name}", self.kind)).map(Some),
        }
    }
}

/// Reads one message of an instance.
pub fn message(
    value: &Value, names: Option<&Names>, pools: &BTreeMap<u64, Vec<NodeEntry>>,
) -> Read<Incoming> {
    let values = list(value, "message")?;
    let kind = text(values.first().unwrap_or(&Value::Null), "message name")?;
    let f = Fields { kind, values: &values[1..] };
    Ok(match kind {
        "Pool" => {
            let entries = f.get(1, "MembersList", list)?.iter().map(entry).collect::<Read<_>>()?;
            Incoming::Pool(f.get(0, "SetId", whole)?, entries)
        }
        "Spawn" => {
            let facts = f.get(1, "Facts", |v, what| {
                v.is_object().then_some(v).ok_or_else(|| bad(what, "an object", v))
            })?;
            let spawned = settings(facts).map_err(|fault| fault.within("Spawn Facts"))?;
            Incoming::Spawn(f.get(0, "InitSeed", whole)?, Box::new(spawned))
        }
        "Exit" => Incoming::Exit,
        _ => Incoming::Event(event(&f, names, pools)?),
    })
}

fn event(f: &Fields<'_>, names: Option<&Names>, pools: &BTreeMap<u64, Vec<NodeEntry>>) -> Read<Event> {
    let Some(names) = names else {
        return Err(Fault(format!("{}: no Spawn came before it", f.kind)));
    };
    let named = |map: &BTreeMap<String, usize>, name: &str, what: &str| {
        map.get(name)
            .copied()
            .ok_or_else(|| Fault(format!("{} {what}: {name:?} is not in the settings", f.kind)))
    };
    Ok(match f.kind {
        "Members" => {
            let pool = || -> Read<Vec<NodeEntry>> {
                let id = f.get(0, "SetId", whole)?;
                pools
                    .get(&id)
                    .cloned()
                    .ok_or_else(|| Fault(format!("Members SetId: no Pool has number {id}")))
            };
            Event::List(match f.get(1, "Mode", text)? {
                "update" => ListUpdate::Changes(pool()?),
                "replace" => ListUpdate::Full(pool()?),
                "restored" => ListUpdate::Restored(pool()?),
                "unavailable" => ListUpdate::Failed,
                other => return Err(Fault(format!("Members Mode: {other:?} is unknown"))),
            })
        }
        "Demand" => {
            let tenant = f.maybe(2, "Party", |v, what| match v {
                Value::Number(n) if n.as_f64() == Some(0.0) => Ok(""),
                _ => text(v, what),
            })?;
            let bits = f.maybe(8, "Bitmap", whole)?.unwrap_or(0);
            let age = f.maybe(7, "TokenMs", number)?.unwrap_or(0.0);
            Event::Request(Demand {
                id: f.get(0, "Xid", whole)?,
                class: named(&names.classes, f.get(1, "Qos", text)?, "Qos")?,
                tenant: match tenant {
                    None | Some("") => None,
                    Some(name) => Some(named(&names.tenants, name, "Party")?),
                },
                session: f.maybe(3, "Sess", text)?.filter(|s| !s.is_empty()).map(Arc::from),
                left: f.get(4, "Left", whole)?,
                cost_hint: f.maybe(5, "Expected", whole)?.filter(|_| bits & 1 != 0),
                group: f.get(6, "DbNo", whole)?,
                write_age: (age > 0.0).then_some((age * 1000.0).floor() as u64),
                repeat: bits & 2 != 0,
            })
        }
        "Accepted" => Event::Started { request: f.get(0, "Xid", whole)? },
        "Verdict" => Event::Outcome {
            request: f.get(0, "Xid", whole)?,
            attempt: f.get(1, "Hop", whole)? as u32,
            ending: ending(f.get(3, "Status", text)?)?,
            elapsed: f.maybe(4, "DelaySeen", whole)?.unwrap_or(0),
            over: f.get(5, "Terminal", flag)?,
            note: note(f.maybe(6, "Stand", whole)?.unwrap_or(0), names.zero),
            report: report(f.maybe(7, "Gauge", list)?, names)?,
        },
        "Abandoned" => Event::Abandoned { request: f.get(0, "Xid", whole)? },
        "Elapsed" => {
            f.get(0, "Ref", text)?;
            Event::Timer
        }
        "Pong" => Event::Probed {
            node: Arc::from(f.get(0, "Node", text)?),
            answered: f.get(1, "Status", text)? == "success",
            report: report(f.maybe(3, "Gauge", list)?, names)?,
        },
        "FromPeer" => {
            Event::Peer { from: f.get(0, "SrcPeer", whole)? as u32, payload: f.get(1, "Payload", hex)? }
        }
        other => return Err(Fault(format!("message {other:?} is unknown"))),
    })
}

fn hex(value: &Value, what: &str) -> Read<Vec<u8>> {
    let digits = text(value, what)?.as_bytes();
    let pair = |two: &[u8]| std::str::from_utf8(two).ok().and_then(|s| u8::from_str_radix(s, 16).ok());
    let bytes: Option<Vec<u8>> = digits.chunks(2).map(|two| (two.len() == 2).then(|| pair(two))?).collect();
    bytes.ok_or_else(|| bad(what, "pairs of hex digits", value))
}

fn ending(word: &str) -> Read<Ending> {
    Ok(match word {
        "success" => Ending::Success,
        "failure" => Ending::Failure,
        "overloaded" => Ending::Overloaded,
        "timed_out" => Ending::TimedOut,
        "unreachable" => Ending::Unreachable,
        "broken" => Ending::Broken,
        "withdrawn" => Ending::Cancelled,
        "void" => Ending::Void,
        "absent" => Ending::Missed,
        other => return Err(Fault(format!("Verdict Status: {other:?} is unknown"))),
    })
}

fn role(code: u64) -> Option<Role> {
    match code {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    }
}

fn note(stand: u64, zero: u64) -> Standing {
    let position = (stand / 4 > 0).then(|| zero + stand / 4 * 1000);
    Standing { position, role: role(stand % 4) }
}

fn report(row: Option<&Vec<Value>>, names: &Names) -> Read<Standing> {
    let Some(row) = row else {
        return Ok(Standing::default());
    };
    let mut standing = Standing::default();
    for (value, name) in row.iter().zip(&names.report) {
        match name.as_str() {
            "x0" if !value.is_null() => {
                let seconds = number(value, "Gauge x0")?;
                standing.position = (seconds > 0.0).then_some(names.zero + (seconds * 1e6).floor() as u64);
            }
            "x1" if !value.is_null() => {
                let primary = number(value, "Gauge x1")? == 1.0;
                standing.role = Some(if primary { Role::Primary } else { Role::Replica });
            }
            _ => {}
        }
    }
    Ok(standing)
}

fn entry(value: &Value) -> Read<NodeEntry> {
    let f = Fields { kind: "Pool entry", values: list(value, "Pool entry")? };
    Ok(NodeEntry {
        node: Arc::from(f.get(0, "Node", text)?),
        zone: f.maybe(1, "RackZone", text)?.unwrap_or("").to_string(),
        kind: f.maybe(2, "Flavor", text)?.unwrap_or("").to_string(),
        primary: f.maybe(3, "Head", number)? == Some(1.0),
        group: f.get(4, "Cell", whole)?,
        state: match f.get(5, "Status", text)? {
            "SERVING" => Listed::Serving,
            "DRAINING" => Listed::Draining,
            "DELETED" => Listed::Gone,
            other => return Err(Fault(format!("Pool entry Status: {other:?} is unknown"))),
        },
        weight: f.maybe(6, "Size", number)?.unwrap_or(1.0),
        started: f.maybe(7, "BootTime", whole)?.filter(|t| *t > 0),
    })
}

/// A part of the settings, with the path to it for complaints.
struct Part<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Part<'a> {
    fn sub(&self, key: &str) -> Read<Part<'a>> {
        let path = format!("{}{key}", self.path);
        match self.value.get(key) {
            Some(value) if value.is_object() => Ok(Part { value, path: path + "." }),
            Some(value) => Err(bad(&path, "an object", value)),
            None => Err(Fault(format!("{path} is missing"))),
        }
    }

    fn get<T>(&self, key: &str, as_kind: impl Fn(&'a Value, &str) -> Read<T>) -> Read<T> {
        let path = format!("{}{key}", self.path);
        as_kind(self.value.get(key).ok_or_else(|| Fault(format!("{path} is missing")))?, &path)
    }

    fn maybe<T>(&self, key: &str, as_kind: impl Fn(&'a Value, &str) -> Read<T>) -> Read<Option<T>> {
        match self.value.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => as_kind(value, &format!("{}{key}", self.path)).map(Some),
        }
    }

    /// One of some words.
    fn word<T: Clone>(&self, key: &str, words: &[(&str, T)]) -> Read<T> {
        let got = self.get(key, text)?;
        let found = words.iter().find(|(word, _)| *word == got).map(|(_, meaning)| meaning.clone());
        found.ok_or_else(|| Fault(format!("{}{key}: {got:?} is unknown", self.path)))
    }
}

fn settings(facts: &Value) -> Read<Spawned> {
    let top = Part { value: facts, path: String::new() };
    let (info, limits, rules) = (top.sub("FamilyInfo")?, top.sub("Limits")?, top.sub("Rules")?);
    let report = top.sub("Report")?;
    let prices = top.sub("Prices").ok();
    let price = |key: &str| -> Read<f64> {
        Ok(prices.as_ref().map(|p| p.maybe(key, number)).transpose()?.flatten().unwrap_or(0.0))
    };
    let yes = |part: &Part<'_>, key: &str| -> Read<bool> { Ok(part.maybe(key, flag)?.unwrap_or(false)) };
    let holds = info.maybe("HoldsFor", whole)?.unwrap_or(0);
    let reads = info.get("ClassRead", list)?;
    let bounds = info.maybe("MaxAge", list)?;
    let classes = top.get("Profiles", list)?.iter().enumerate().map(|(place, value)| {
        let part = Part { value, path: format!("Profiles[{place}].") };
        let bound = bounds.and_then(|b| b.get(place)).map(|v| whole(v, "FamilyInfo.MaxAge")).transpose()?;
        let read =
            reads.get(place).ok_or_else(|| Fault(format!("FamilyInfo.ClassRead[{place}] is missing")))?;
        let access = match text(read, "FamilyInfo.ClassRead")? {
            "update" => Access::Write,
            "latest" => Access::Latest,
            "own_writes" => Access::OwnWrites,
            "recent" => Access::Bounded(bound.unwrap_or(0)),
            "loose" => Access::Any,
            other => {
                return Err(Fault(format!("FamilyInfo.ClassRead[{place}]: {other:?} is unknown")));
            }
        };
        let effects = [
            ("idempotent", Effect::Idempotent),
            ("deduplicated", Effect::Deduplicated),
            ("at_most_once", Effect::AtMostOnce),
        ];
        let scopes = [("all", RepeatScope::All), ("zone", RepeatScope::Zone), ("cell", RepeatScope::Group)];
        Ok(Class {
            name: part.get("Name", text)?.to_string(),
            access,
            aim: part.get("Aim", whole)?,
            aim_stretch: part.maybe("AimStretch", number)?.unwrap_or(0.0),
            deadline: part.get("Deadline", whole)?,
            worth: part.maybe("Gain", number)?.unwrap_or(1.0),
            late_worth: part.maybe("LateWorth", number)?.unwrap_or(0.0),
            effect: part.word("Effect", &effects)?,
            scope: if part.value.get("Group").is_some() {
                part.word("Group", &scopes)?
            } else {
                RepeatScope::Group
            },
            window: part.maybe("Window", whole)?.unwrap_or(0),
            stream: yes(&part, "Stream")?,
        })
    });
    let tenants = top.maybe("Customers", list)?.into_iter().flatten().enumerate().map(|(place, value)| {
        let part = Part { value, path: format!("Customers[{place}].") };
        Ok(Tenant {
            name: part.get("Name", text)?.to_string(),
            quota_per_s: part.maybe("AllowancePerS", number)?.unwrap_or(0.0),
        })
    });
    let checks = [
        ("silent", ReplicaCheck::None),
        ("reject", ReplicaCheck::Refuse),
        ("hold", ReplicaCheck::Wait(holds)),
    ];
    let roles = [("delayed", ListRole::Late), ("initial", ListRole::Initial), ("silent", ListRole::None)];
    let sources = [
        ("piggyback", ReportSource::Answers),
        ("pull", ReportSource::Probes),
        ("silent", ReportSource::None),
    ];
    let weights = [
        ("silent", WeightMeaning::None),
        ("nominal", WeightMeaning::Size),
        ("rough", WeightMeaning::Size),
        ("live", WeightMeaning::Live),
    ];
    let names = report.maybe("Names", list)?;
    let columns = names.into_iter().flatten().map(|v| text(v, "Report.Names").map(str::to_string));
    Ok(Spawned {
        zero: info.maybe("BaseTime", whole)?.unwrap_or(0),
        report: columns.collect::<Read<_>>()?,
        settings: Settings {
            index: top.get("SlotNo", whole)? as u32,
            routers: top.get("Balancers", whole)? as u32,
            zone: top.maybe("Zone", text)?.unwrap_or("").to_string(),
            classes: classes.collect::<Read<_>>()?,
            tenants: tenants.collect::<Read<_>>()?,
            over_share_worth: top.maybe("OverShareWorth", number)?.unwrap_or(1.0),
            worth_by_work: top.maybe("CountedBy", text)? == Some("work"),
            replica_check: info.word("ServerChecks", &checks)?,
            list_role: info.word("ShowsRole", &roles)?,
            reports: report.word("How", &sources)?,
            tokens_carried: info.word("SessionMarks", &[("client", true), ("router", false)])?,
            weights: if facts.get("Weights").is_some() {
                top.word("Weights", &weights)?
            } else {
                WeightMeaning::None
            },
            subscribe: top.word("Discovery", &[("automatic", false), ("subscribe", true)])?,
            ask_every: rules.maybe("AskEvery", whole)?.unwrap_or(0),
            may_probe: yes(&limits, "Probing")?,
            may_tell_peers: yes(&limits, "Peers")?,
            may_cancel: yes(&limits, "Cancel")?,
            second_copies: yes(&limits, "SecondCopies")?,
            retry_after: yes(&limits, "RetryAfter")?,
            max_retry_after: limits.maybe("MaxRetryAfter", whole)?.unwrap_or(0),
            max_attempts: limits.get("MaxAttempts", whole)? as u32,
            connection_idle: limits.maybe("ConnIdle", whole)?.unwrap_or(60_000_000),
            tick: top.get("Tick", whole)?,
            drain_grace: rules.get("DrainGrace", whole)?,
            dropped_stay_open: yes(&rules, "DroppedStayOpen")?,
            answer_grace: rules.maybe("GraceToAnswer", whole)?.unwrap_or(0),
            cold_share: rules.get("ColdShare", number)?,
            cold_span: rules.get("Cold", whole)?,
            overload_factor: rules.get("OverloadFactor", number)?,
            overload_span: rules.get("OverloadFor", whole)?,
            prices: Prices {
                cross_zone: price("CrossZone")?,
                waste: price("Waste")?,
                probe: price("Probe")?,
                peer: price("Peer")?,
                late_fail: price("LateFail")?,
            },
        },
    })
}
