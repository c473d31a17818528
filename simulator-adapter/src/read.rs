//! The words of the wire as settings and events, and plain complaints about what is malformed.

use plovercove::*;
use plovercove_settings::{
    self as settings, Fault, ParsedSettings, ReadResult, Value, boolean, list, number, text,
    unsigned, wrong_kind,
};
use simd_json::StaticNode;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What stands where nothing was given.
const NOTHING: Value = Value::Static(StaticNode::Null);

/// What the wire's names of classes and tenants, and its report columns, stand for at one instance.
pub struct Names {
    known: settings::Names,
    zero: u64,
    report: Vec<String>,
}

impl Names {
    /// The names that the settings bring.
    pub fn of(spawned: &ParsedSettings) -> Self {
        let known = settings::Names::new(&spawned.settings);
        Names {
            known,
            zero: spawned.position_epoch,
            report: spawned.report_columns.clone(),
        }
    }
}

/// One message of a batch.
pub enum Incoming {
    Pool(u64, Vec<Endpoint>),
    Spawn(u64, Box<ParsedSettings>),
    Exit,
    Event(Event),
}

/// Reads one batch line.
pub fn batch(line: &str) -> ReadResult<Value> {
    let value =
        settings::parse(line.as_bytes().to_vec()).map_err(|fault| fault.within("not a batch"))?;
    if !value.is_object() {
        return Err(wrong_kind("batch", "an object", &value));
    }
    Ok(value)
}

/// The clock of a batch.
pub fn clock(batch: &Value) -> ReadResult<u64> {
    unsigned(batch.get("Wall").unwrap_or(&NOTHING), "Wall")
}

/// The instances of a batch with their input.
pub fn routers(batch: &Value) -> ReadResult<Vec<(&str, &Vec<Value>)>> {
    clock(batch)?;
    let groups = list(batch.get("routers").unwrap_or(&NOTHING), "routers")?;
    let mut found = Vec::with_capacity(groups.len());
    for group in groups {
        let who = text(group.get("Who").unwrap_or(&NOTHING), "Who")?;
        found.push((
            who,
            list(group.get("input").unwrap_or(&NOTHING), "input")
                .map_err(|fault| fault.within(who))?,
        ));
    }
    Ok(found)
}

/// The fields of one message, by place.
struct Fields<'a> {
    kind: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn at(&self, place: usize, name: &str) -> ReadResult<&'a Value> {
        self.values
            .get(place)
            .ok_or_else(|| Fault::new(format!("{}: {name} is missing", self.kind)))
    }

    fn get<T>(
        &self,
        place: usize,
        name: &str,
        as_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<T> {
        as_kind(self.at(place, name)?, &format!("{} {name}", self.kind))
    }

    /// A field that may be null or left out.
    fn maybe<T>(
        &self,
        place: usize,
        name: &str,
        as_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<Option<T>> {
        match self.values.get(place) {
            None | Some(Value::Static(StaticNode::Null)) => Ok(None),
            Some(value) => as_kind(value, &format!("{} {name}", self.kind)).map(Some),
        }
    }
}

/// Reads one message of an instance.
pub fn message(
    value: &Value,
    names: Option<&Names>,
    pools: &BTreeMap<u64, Vec<Endpoint>>,
) -> ReadResult<Incoming> {
    let values = list(value, "message")?;
    let kind = text(values.first().unwrap_or(&NOTHING), "message name")?;
    let f = Fields {
        kind,
        values: &values[1..],
    };
    Ok(match kind {
        "Pool" => {
            let entries = f
                .get(1, "MembersList", list)?
                .iter()
                .map(entry)
                .collect::<ReadResult<_>>()?;
            Incoming::Pool(f.get(0, "SetId", unsigned)?, entries)
        }
        "Spawn" => {
            let facts = f.get(1, "Facts", |v, what| {
                v.is_object()
                    .then_some(v)
                    .ok_or_else(|| wrong_kind(what, "an object", v))
            })?;
            let spawned =
                settings::read_settings(facts, "").map_err(|fault| fault.within("Spawn Facts"))?;
            Incoming::Spawn(f.get(0, "InitSeed", unsigned)?, Box::new(spawned))
        }
        "Exit" => Incoming::Exit,
        _ => Incoming::Event(event(&f, names, pools)?),
    })
}

fn event(
    f: &Fields<'_>,
    names: Option<&Names>,
    pools: &BTreeMap<u64, Vec<Endpoint>>,
) -> ReadResult<Event> {
    let Some(names) = names else {
        return Err(Fault::new(format!("{}: no Spawn came before it", f.kind)));
    };
    let stranger = |name: &str, what: &str| {
        Fault::new(format!(
            "{} {what}: {name:?} is not in the settings",
            f.kind
        ))
    };
    Ok(match f.kind {
        "Members" => {
            let pool = || -> ReadResult<Vec<Endpoint>> {
                let id = f.get(0, "SetId", unsigned)?;
                pools
                    .get(&id)
                    .cloned()
                    .ok_or_else(|| Fault::new(format!("Members SetId: no Pool has number {id}")))
            };
            Event::EndpointsChanged(match f.get(1, "Mode", text)? {
                "update" => EndpointUpdate::Changes(pool()?),
                "replace" => EndpointUpdate::Full(pool()?),
                "restored" => EndpointUpdate::Restored(pool()?),
                "unavailable" => EndpointUpdate::Failed,
                other => return Err(Fault::new(format!("Members Mode: {other:?} is unknown"))),
            })
        }
        "Demand" => {
            let tenant = f.maybe(2, "Party", |v, what| match v {
                v if v.cast_f64() == Some(0.0) => Ok(""),
                _ => text(v, what),
            })?;
            let class = f.get(1, "Qos", text)?;
            let bits = f.maybe(8, "Bitmap", unsigned)?.unwrap_or(0);
            let age = f.maybe(7, "TokenMs", number)?.unwrap_or(0.0);
            Event::RequestArrived(RequestInfo {
                id: f.get(0, "Xid", unsigned)?,
                class: names
                    .known
                    .class(class)
                    .ok_or_else(|| stranger(class, "Qos"))?,
                tenant: match tenant {
                    None | Some("") => None,
                    Some(name) => Some(
                        names
                            .known
                            .tenant(name)
                            .ok_or_else(|| stranger(name, "Party"))?,
                    ),
                },
                session: f
                    .maybe(3, "Sess", text)?
                    .filter(|s| !s.is_empty())
                    .map(Arc::from),
                time_left: f.get(4, "Left", unsigned)?,
                cost_hint: f.maybe(5, "Expected", unsigned)?.filter(|_| bits & 1 != 0),
                group: f.get(6, "DbNo", unsigned)?,
                last_write_age: (age > 0.0).then_some((age * 1000.0).floor() as u64),
                is_retry: bits & 2 != 0,
            })
        }
        "Accepted" => Event::StreamStarted {
            request: f.get(0, "Xid", unsigned)?,
        },
        "Verdict" => Event::AttemptEnded {
            request: f.get(0, "Xid", unsigned)?,
            attempt: f.get(1, "Hop", unsigned)? as u32,
            end: ending(f.get(3, "Status", text)?)?,
            elapsed: f.maybe(4, "DelaySeen", unsigned)?.unwrap_or(0),
            request_over: f.get(5, "Terminal", boolean)?,
            answer_report: note(f.maybe(6, "Stand", unsigned)?.unwrap_or(0), names.zero),
            load_report: report(f.maybe(7, "Gauge", list)?, names)?,
        },
        "Abandoned" => Event::ClientGone {
            request: f.get(0, "Xid", unsigned)?,
        },
        "Elapsed" => {
            f.get(0, "Ref", text)?;
            Event::Timer
        }
        "Pong" => Event::HealthChecked {
            node: Arc::from(f.get(0, "Node", text)?),
            answered: f.get(1, "Status", text)? == "success",
            load_report: report(f.maybe(3, "Gauge", list)?, names)?,
        },
        "FromPeer" => Event::Peer {
            from: f.get(0, "SrcPeer", unsigned)? as u32,
            payload: f.get(1, "Payload", hex)?,
        },
        other => return Err(Fault::new(format!("message {other:?} is unknown"))),
    })
}

fn hex(value: &Value, what: &str) -> ReadResult<Vec<u8>> {
    let digits = text(value, what)?.as_bytes();
    let pair = |two: &[u8]| {
        std::str::from_utf8(two)
            .ok()
            .and_then(|s| u8::from_str_radix(s, 16).ok())
    };
    let bytes: Option<Vec<u8>> = digits
        .chunks(2)
        .map(|two| (two.len() == 2).then(|| pair(two))?)
        .collect();
    bytes.ok_or_else(|| wrong_kind(what, "pairs of hex digits", value))
}

fn ending(word: &str) -> ReadResult<AttemptEnd> {
    Ok(match word {
        "success" => AttemptEnd::Success,
        "failure" => AttemptEnd::Failure,
        "overloaded" => AttemptEnd::Overloaded,
        "timed_out" => AttemptEnd::TimedOut,
        "unreachable" => AttemptEnd::Unreachable,
        "broken" => AttemptEnd::Reset,
        "withdrawn" => AttemptEnd::Cancelled,
        "void" => AttemptEnd::NeverSent,
        "absent" => AttemptEnd::Misdirected,
        other => return Err(Fault::new(format!("Verdict Status: {other:?} is unknown"))),
    })
}

fn role(code: u64) -> Option<Role> {
    match code {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    }
}

fn note(stand: u64, zero: u64) -> NodeReport {
    let position = (stand / 4 > 0).then(|| zero + stand / 4 * 1000);
    NodeReport {
        position,
        role: role(stand % 4),
        in_flight: None,
        utilization_permille: None,
        age: 0,
    }
}

fn report(row: Option<&Vec<Value>>, names: &Names) -> ReadResult<NodeReport> {
    let Some(row) = row else {
        return Ok(NodeReport::default());
    };
    let mut standing = NodeReport::default();
    for (value, name) in row.iter().zip(&names.report) {
        match name.as_str() {
            "x0" if !value.is_null() => {
                let seconds = number(value, "Gauge x0")?;
                standing.position =
                    (seconds > 0.0).then_some(names.zero + (seconds * 1e6).floor() as u64);
            }
            "x1" if !value.is_null() => {
                let primary = number(value, "Gauge x1")? == 1.0;
                standing.role = Some(if primary {
                    Role::Primary
                } else {
                    Role::Replica
                });
            }
            "outstanding" if !value.is_null() => {
                standing.in_flight = Some(number(value, "Gauge outstanding")?.max(0.0) as u32)
            }
            "utilization" if !value.is_null() => {
                standing.utilization_permille =
                    Some((number(value, "Gauge utilization")?.max(0.0) * 1e3) as u32)
            }
            _ => {}
        }
    }
    Ok(standing)
}

fn entry(value: &Value) -> ReadResult<Endpoint> {
    let f = Fields {
        kind: "Pool entry",
        values: list(value, "Pool entry")?,
    };
    Ok(Endpoint {
        node: Arc::from(f.get(0, "Node", text)?),
        zone: f.maybe(1, "RackZone", text)?.unwrap_or("").to_string(),
        machine_kind: f.maybe(2, "Flavor", text)?.unwrap_or("").to_string(),
        listed_as_primary: f.maybe(3, "Head", number)? == Some(1.0),
        group: f.get(4, "Cell", unsigned)?,
        state: match f.get(5, "Status", text)? {
            "SERVING" => EndpointState::Serving,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Removed,
            other => {
                return Err(Fault::new(format!(
                    "Pool entry Status: {other:?} is unknown"
                )));
            }
        },
        weight: f.maybe(6, "Size", number)?.unwrap_or(1.0),
        started_at: f.maybe(7, "BootTime", unsigned)?.filter(|t| *t > 0),
    })
}
