//! Reads the messages of the line protocol as settings and events. Errors name the malformed field.

use plovercove::*;
use plovercove_settings::{
    self as settings, Fault, ParsedSettings, ReadResult, Value, boolean, list, number, text,
    unsigned, wrong_kind,
};
use simd_json::StaticNode;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The value of a field that is missing.
const MISSING: Value = Value::Static(StaticNode::Null);

/// The names of classes, tenants and report columns of an instance, and the time from which its positions count.
pub struct Names {
    settings_names: settings::Names,
    position_epoch: u64,
    report: Vec<String>,
}

impl Names {
    /// Returns the names of the settings.
    pub fn of(parsed: &ParsedSettings) -> Self {
        let settings_names = settings::Names::new(&parsed.settings);
        Names {
            settings_names,
            position_epoch: parsed.position_epoch,
            report: parsed.report_columns.clone(),
        }
    }
}

/// A message of a batch.
pub enum Incoming {
    Pool(u64, Vec<Endpoint>),
    Spawn(u64, Box<ParsedSettings>),
    Exit,
    Event(Event),
}

/// Parses a line as a batch.
pub fn parse_batch(line: &str) -> ReadResult<Value> {
    let value =
        settings::parse(line.as_bytes().to_vec()).map_err(|fault| fault.within("not a batch"))?;
    if !value.is_object() {
        return Err(wrong_kind("batch", "an object", &value));
    }
    Ok(value)
}

/// Returns the clock of a batch.
pub fn clock(batch: &Value) -> ReadResult<u64> {
    unsigned(batch.get("Wall").unwrap_or(&MISSING), "Wall")
}

/// Returns the names of a batch's instances with their messages.
pub fn routers(batch: &Value) -> ReadResult<Vec<(&str, &Vec<Value>)>> {
    clock(batch)?;
    let groups = list(batch.get("routers").unwrap_or(&MISSING), "routers")?;
    let mut found = Vec::with_capacity(groups.len());
    for group in groups {
        let router_name = text(group.get("Who").unwrap_or(&MISSING), "Who")?;
        found.push((
            router_name,
            list(group.get("input").unwrap_or(&MISSING), "input")
                .map_err(|fault| fault.within(router_name))?,
        ));
    }
    Ok(found)
}

/// The fields of a message, by position.
struct Fields<'a> {
    kind: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn value_at(&self, position: usize, name: &str) -> ReadResult<&'a Value> {
        self.values
            .get(position)
            .ok_or_else(|| Fault::new(format!("{}: {name} is missing", self.kind)))
    }

    /// Returns a required field.
    fn get<T>(
        &self,
        position: usize,
        name: &str,
        as_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<T> {
        as_kind(
            self.value_at(position, name)?,
            &format!("{} {name}", self.kind),
        )
    }

    /// Returns a field that may be null or missing.
    fn optional<T>(
        &self,
        position: usize,
        name: &str,
        as_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<Option<T>> {
        match self.values.get(position) {
            None | Some(Value::Static(StaticNode::Null)) => Ok(None),
            Some(value) => as_kind(value, &format!("{} {name}", self.kind)).map(Some),
        }
    }
}

/// Reads a message of an instance.
pub fn read_message(
    value: &Value,
    names: Option<&Names>,
    pools: &BTreeMap<u64, Vec<Endpoint>>,
) -> ReadResult<Incoming> {
    let values = list(value, "message")?;
    let kind = text(values.first().unwrap_or(&MISSING), "message name")?;
    let f = Fields {
        kind,
        values: &values[1..],
    };
    Ok(match kind {
        "Pool" => {
            let entries = f
                .get(1, "MembersList", list)?
                .iter()
                .map(read_endpoint)
                .collect::<ReadResult<_>>()?;
            Incoming::Pool(f.get(0, "SetId", unsigned)?, entries)
        }
        "Spawn" => {
            let facts = f.get(1, "Facts", |v, what| {
                v.is_object()
                    .then_some(v)
                    .ok_or_else(|| wrong_kind(what, "an object", v))
            })?;
            let parsed =
                settings::read_settings(facts, "").map_err(|fault| fault.within("Spawn Facts"))?;
            Incoming::Spawn(f.get(0, "InitSeed", unsigned)?, Box::new(parsed))
        }
        "Exit" => Incoming::Exit,
        _ => Incoming::Event(read_event(&f, names, pools)?),
    })
}

fn read_event(
    f: &Fields<'_>,
    names: Option<&Names>,
    pools: &BTreeMap<u64, Vec<Endpoint>>,
) -> ReadResult<Event> {
    let Some(names) = names else {
        return Err(Fault::new(format!("{}: no Spawn came before it", f.kind)));
    };
    let unknown_name = |name: &str, what: &str| {
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
            let tenant = f.optional(2, "Party", |v, what| match v {
                v if v.cast_f64() == Some(0.0) => Ok(""),
                _ => text(v, what),
            })?;
            let class = f.get(1, "Qos", text)?;
            let bits = f.optional(8, "Bitmap", unsigned)?.unwrap_or(0);
            let age = f.optional(7, "TokenMs", number)?.unwrap_or(0.0);
            Event::RequestArrived(RequestInfo {
                id: f.get(0, "Xid", unsigned)?,
                class: names
                    .settings_names
                    .class(class)
                    .ok_or_else(|| unknown_name(class, "Qos"))?,
                tenant: match tenant {
                    None | Some("") => None,
                    Some(name) => Some(
                        names
                            .settings_names
                            .tenant(name)
                            .ok_or_else(|| unknown_name(name, "Party"))?,
                    ),
                },
                session: f
                    .optional(3, "Sess", text)?
                    .filter(|s| !s.is_empty())
                    .map(SessionId::from),
                time_left: f.get(4, "Left", unsigned)?,
                cost_hint: f
                    .optional(5, "Expected", unsigned)?
                    .filter(|_| bits & 1 != 0),
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
            end: read_attempt_end(f.get(3, "Status", text)?)?,
            elapsed: f.optional(4, "DelaySeen", unsigned)?.unwrap_or(0),
            request_over: f.get(5, "Terminal", boolean)?,
            answer_report: read_answer_report(
                f.optional(6, "Stand", unsigned)?.unwrap_or(0),
                names.position_epoch,
            ),
            load_report: read_load_report(f.optional(7, "Gauge", list)?, names)?,
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
            load_report: read_load_report(f.optional(3, "Gauge", list)?, names)?,
        },
        "FromPeer" => Event::Peer {
            from: f.get(0, "SrcPeer", unsigned)? as u32,
            payload: f.get(1, "Payload", read_hex)?,
        },
        other => return Err(Fault::new(format!("message {other:?} is unknown"))),
    })
}

fn read_hex(value: &Value, what: &str) -> ReadResult<Vec<u8>> {
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

fn read_attempt_end(name: &str) -> ReadResult<AttemptEnd> {
    Ok(match name {
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

fn role_from_code(code: u64) -> Option<Role> {
    match code {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    }
}

/// Reads a `Stand`: the position (ms after the epoch) times 4, plus the code of the role.
fn read_answer_report(packed: u64, position_epoch: u64) -> NodeReport {
    let position = (packed / 4 > 0).then(|| position_epoch + packed / 4 * 1000);
    NodeReport {
        position,
        role: role_from_code(packed % 4),
        in_flight: None,
        utilization_permille: None,
        age: 0,
    }
}

fn read_load_report(row: Option<&Vec<Value>>, names: &Names) -> ReadResult<NodeReport> {
    let Some(row) = row else {
        return Ok(NodeReport::default());
    };
    let mut node_report = NodeReport::default();
    for (value, name) in row.iter().zip(&names.report) {
        match name.as_str() {
            "x0" if !value.is_null() => {
                let seconds = number(value, "Gauge x0")?;
                node_report.position = (seconds > 0.0)
                    .then_some(names.position_epoch + (seconds * 1e6).floor() as u64);
            }
            "x1" if !value.is_null() => {
                let primary = number(value, "Gauge x1")? == 1.0;
                node_report.role = Some(if primary {
                    Role::Primary
                } else {
                    Role::Replica
                });
            }
            "outstanding" if !value.is_null() => {
                node_report.in_flight = Some(number(value, "Gauge outstanding")?.max(0.0) as u32)
            }
            "utilization" if !value.is_null() => {
                node_report.utilization_permille =
                    Some((number(value, "Gauge utilization")?.max(0.0) * 1e3) as u32)
            }
            _ => {}
        }
    }
    Ok(node_report)
}

fn read_endpoint(value: &Value) -> ReadResult<Endpoint> {
    let f = Fields {
        kind: "Pool entry",
        values: list(value, "Pool entry")?,
    };
    Ok(Endpoint {
        node: Arc::from(f.get(0, "Node", text)?),
        zone: f.optional(1, "RackZone", text)?.unwrap_or("").to_string(),
        machine_kind: f.optional(2, "Flavor", text)?.unwrap_or("").to_string(),
        listed_as_primary: f.optional(3, "Head", number)? == Some(1.0),
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
        weight: f.optional(6, "Size", number)?.unwrap_or(1.0),
        started_at: f.optional(7, "BootTime", unsigned)?.filter(|t| *t > 0),
    })
}
