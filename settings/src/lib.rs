//! The one reader of settings: it checks them, holds every default, names the key that is at fault and fills the
//! module's own `Settings`. The adapter and the router both read through it.

use plovercove::*;
use simd_json::StaticNode;
use simd_json::prelude::*;
use std::collections::BTreeMap;

/// A JSON value of the input.
pub use simd_json::OwnedValue as Value;

/// What is wrong with the input, and where.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Fault {
    /// The input is no JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] simd_json::Error),
    /// A value of the wrong kind.
    #[error("{key}: expected {want}, got {got}")]
    Kind {
        /// The path of its key.
        key: String,
        /// What it should be.
        want: String,
        /// The value, cut short where it is long.
        got: String,
    },
    /// A key that must be there is not.
    #[error("{0} is missing")]
    Missing(String),
    /// A word that is none of those that may stand there.
    #[error("{key}: {got:?} is unknown")]
    Unknown {
        /// The path of its key.
        key: String,
        /// The word.
        got: String,
    },
    /// What else is wrong, in the words of whoever reads the input.
    #[error("{0}")]
    Meaning(String),
    /// A fault and where it belongs.
    #[error("{place}: {fault}")]
    Within {
        /// The place.
        place: String,
        /// The fault there.
        #[source]
        fault: Box<Fault>,
    },
}

impl Fault {
    /// A complaint in these words.
    pub fn new(text: impl Into<String>) -> Self {
        Fault::Meaning(text.into())
    }

    /// The same complaint, with the place it belongs to in front.
    pub fn within(self, place: &str) -> Self {
        Fault::Within {
            place: place.to_string(),
            fault: Box::new(self),
        }
    }

    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Fault::NotJson(_) => {
                "write the file anew, whole: it was cut short, or is not the platform's JSON"
            }
            Fault::Kind { .. } => "give this key a value of the kind that is expected",
            Fault::Missing(_) => {
                "add this key; the platform writes it, so an older platform or a file made by hand may lack it"
            }
            Fault::Unknown { .. } => {
                "correct the spelling, or use a plovercove that knows this word: the platform may be newer than the router"
            }
            Fault::Meaning(_) => {
                "correct the value that is named, or have the platform write the file anew"
            }
            Fault::Within { fault, .. } => fault.help(),
        }
    }
}

/// What was read, or what is wrong with it.
pub type ReadResult<T> = Result<T, Fault>;

/// Settings for the module, and what only the translation needs.
pub struct ParsedSettings {
    /// The module's own settings.
    pub settings: Settings,
    /// The moment from which the simulator counts positions.
    pub position_epoch: u64,
    /// The columns of a report.
    pub report_columns: Vec<String>,
}

/// The numbers that the settings give to the names of classes and tenants.
pub struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

impl Names {
    /// The names in these settings.
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map(|c| c.name.clone());
        let tenants = settings.tenants.iter().map(|t| t.name.clone());
        Names {
            classes: classes.zip(0..).collect(),
            tenants: tenants.zip(0..).collect(),
        }
    }

    /// A class by its name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}

/// Reads one JSON value.
pub fn parse(mut json: Vec<u8>) -> ReadResult<Value> {
    simd_json::to_owned_value(&mut json).map_err(Fault::NotJson)
}

/// The complaint about a value of the wrong kind.
pub fn wrong_kind(what: &str, want: &str, got: &Value) -> Fault {
    let mut shown: String = got.encode();
    if shown.chars().count() > 60 {
        shown = shown.chars().take(60).collect::<String>() + "...";
    }
    Fault::Kind {
        key: what.to_string(),
        want: want.to_string(),
        got: shown,
    }
}

/// A whole number that is not negative.
pub fn unsigned(value: &Value, what: &str) -> ReadResult<u64> {
    let as_float = || {
        value
            .as_f64()
            .filter(|f| f.fract() == 0.0 && (0.0..1.8e19).contains(f))
            .map(|f| f as u64)
    };
    value
        .as_u64()
        .or_else(as_float)
        .ok_or_else(|| wrong_kind(what, "a whole number", value))
}

/// A whole number of 32 bits.
pub fn unsigned_32(value: &Value, what: &str) -> ReadResult<u32> {
    u32::try_from(unsigned(value, what)?)
        .map_err(|_| wrong_kind(what, "a whole number under 2^32", value))
}

/// Any number.
pub fn number(value: &Value, what: &str) -> ReadResult<f64> {
    value
        .cast_f64()
        .ok_or_else(|| wrong_kind(what, "a number", value))
}

/// A text.
pub fn text<'a>(value: &'a Value, what: &str) -> ReadResult<&'a str> {
    value
        .as_str()
        .ok_or_else(|| wrong_kind(what, "text", value))
}

/// True or false.
pub fn boolean(value: &Value, what: &str) -> ReadResult<bool> {
    value
        .as_bool()
        .ok_or_else(|| wrong_kind(what, "true or false", value))
}

/// A list.
pub fn list<'a>(value: &'a Value, what: &str) -> ReadResult<&'a Vec<Value>> {
    value
        .as_array()
        .ok_or_else(|| wrong_kind(what, "a list", value))
}

/// A part of the settings, with the path to it for complaints.
pub struct Section<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Section<'a> {
    /// A value whose path starts so.
    pub fn new(value: &'a Value, path: impl Into<String>) -> Self {
        Section {
            value,
            path: path.into(),
        }
    }

    /// A part of this part, which must be an object.
    pub fn section(&self, key: &str) -> ReadResult<Section<'a>> {
        let path = format!("{}{key}", self.path);
        match self.value.get(key) {
            Some(value) if value.is_object() => Ok(Section {
                value,
                path: path + ".",
            }),
            Some(value) => Err(wrong_kind(&path, "an object", value)),
            None => Err(Fault::Missing(path)),
        }
    }

    /// A part of this part that may be null or left out, but is an object where it is there.
    pub fn optional_section(&self, key: &str) -> ReadResult<Option<Section<'a>>> {
        match self.value.get(key) {
            None | Some(Value::Static(StaticNode::Null)) => Ok(None),
            Some(_) => self.section(key).map(Some),
        }
    }

    /// A value that must be there.
    pub fn required<T>(
        &self,
        key: &str,
        as_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<T> {
        let path = format!("{}{key}", self.path);
        match self.value.get(key) {
            Some(value) => as_kind(value, &path),
            None => Err(Fault::Missing(path)),
        }
    }

    /// A value that may be null or left out.
    pub fn optional<T>(
        &self,
        key: &str,
        as_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<Option<T>> {
        match self.value.get(key) {
            None | Some(Value::Static(StaticNode::Null)) => Ok(None),
            Some(value) => as_kind(value, &format!("{}{key}", self.path)).map(Some),
        }
    }

    /// One of some words.
    pub fn one_of<T: Clone>(&self, key: &str, words: &[(&str, T)]) -> ReadResult<T> {
        let got = self.required(key, text)?;
        let found = words
            .iter()
            .find(|(word, _)| *word == got)
            .map(|(_, meaning)| meaning.clone());
        found.ok_or_else(|| Fault::Unknown {
            key: format!("{}{key}", self.path),
            got: got.to_string(),
        })
    }
}

/// Reads the settings, whose keys are named from this path on.
pub fn read_settings(facts: &Value, path: &str) -> ReadResult<ParsedSettings> {
    let top = Section::new(facts, path);
    let (info, limits, rules) = (
        top.section("FamilyInfo")?,
        top.section("Limits")?,
        top.section("Rules")?,
    );
    let report = top.section("Report")?;
    let prices = top.optional_section("Prices")?;
    let price = |key: &str| -> ReadResult<f64> {
        Ok(prices
            .as_ref()
            .map(|p| p.optional(key, number))
            .transpose()?
            .flatten()
            .unwrap_or(0.0))
    };
    let yes = |part: &Section<'_>, key: &str| -> ReadResult<bool> {
        Ok(part.optional(key, boolean)?.unwrap_or(false))
    };
    let holds = info.optional("HoldsFor", unsigned)?.unwrap_or(0);
    let reads = info.required("ClassRead", list)?;
    let bounds = info.optional("MaxAge", list)?;
    let classes = top
        .required("Profiles", list)?
        .iter()
        .enumerate()
        .map(|(place, value)| {
            let part = Section::new(value, format!("{path}Profiles[{place}]."));
            let bound = bounds
                .and_then(|b| b.get(place))
                .map(|v| unsigned(v, &format!("{path}FamilyInfo.MaxAge[{place}]")))
                .transpose()?;
            let read = reads
                .get(place)
                .ok_or_else(|| Fault::Missing(format!("{path}FamilyInfo.ClassRead[{place}]")))?;
            let access = match text(read, &format!("{path}FamilyInfo.ClassRead[{place}]"))? {
                "update" => Access::Write,
                "latest" => Access::Latest,
                "own_writes" => Access::OwnWrites,
                "recent" => Access::Bounded(bound.unwrap_or(0)),
                "loose" => Access::Any,
                other => {
                    return Err(Fault::Unknown {
                        key: format!("{path}FamilyInfo.ClassRead[{place}]"),
                        got: other.to_string(),
                    });
                }
            };
            let effects = [
                ("idempotent", Idempotency::Idempotent),
                ("deduplicated", Idempotency::Deduplicated),
                ("at_most_once", Idempotency::AtMostOnce),
            ];
            let scopes = [
                ("all", DedupScope::All),
                ("zone", DedupScope::Zone),
                ("cell", DedupScope::Group),
            ];
            Ok(Class {
                name: part.required("Name", text)?.to_string(),
                access,
                latency_objective: part.required("Aim", unsigned)?,
                objective_per_cost: part.optional("AimStretch", number)?.unwrap_or(0.0),
                deadline: part.required("Deadline", unsigned)?,
                priority_weight: part.optional("Gain", number)?.unwrap_or(1.0),
                late_weight_share: part.optional("LateWorth", number)?.unwrap_or(0.0),
                idempotency: part.one_of("Effect", &effects)?,
                dedup_scope: if part.value.get("Group").is_some() {
                    part.one_of("Group", &scopes)?
                } else {
                    DedupScope::Group
                },
                dedup_window: part.optional("Window", unsigned)?.unwrap_or(0),
                stream: yes(&part, "Stream")?,
            })
        });
    let tenants = top
        .optional("Customers", list)?
        .into_iter()
        .flatten()
        .enumerate()
        .map(|(place, value)| {
            let part = Section::new(value, format!("{path}Customers[{place}]."));
            Ok(Tenant {
                name: part.required("Name", text)?.to_string(),
                quota_per_s: part
                    .optional("AllowancePerS", number)?
                    .unwrap_or(f64::INFINITY),
            })
        });
    let checks = [
        ("silent", ReplicaCheck::None),
        ("reject", ReplicaCheck::Reject),
        ("hold", ReplicaCheck::Wait(holds)),
    ];
    let roles = [
        ("delayed", RoleSource::Late),
        ("initial", RoleSource::Initial),
        ("silent", RoleSource::None),
    ];
    let sources = [
        ("piggyback", ReportSource::Answers),
        ("pull", ReportSource::HealthChecks),
        ("silent", ReportSource::None),
    ];
    let weights = [
        ("silent", WeightMeaning::None),
        ("nominal", WeightMeaning::Size),
        ("rough", WeightMeaning::Size),
        ("live", WeightMeaning::Live),
    ];
    let names = report.optional("Names", list)?;
    let columns = names
        .into_iter()
        .flatten()
        .map(|v| text(v, "Report.Names").map(str::to_string));
    Ok(ParsedSettings {
        position_epoch: info.optional("BaseTime", unsigned)?.unwrap_or(0),
        report_columns: columns.collect::<ReadResult<_>>()?,
        settings: Settings {
            router_index: top.required("SlotNo", unsigned_32)?,
            router_count: top.required("Balancers", unsigned_32)?,
            zone: top.optional("Zone", text)?.unwrap_or("").to_string(),
            classes: classes.collect::<ReadResult<_>>()?,
            tenants: tenants.collect::<ReadResult<_>>()?,
            over_quota_weight: top.optional("OverShareWorth", number)?.unwrap_or(1.0),
            weight_per_work: top.optional("CountedBy", text)? == Some("work"),
            replica_check: info.one_of("ServerChecks", &checks)?,
            role_source: info.one_of("ShowsRole", &roles)?,
            reports: report.one_of("How", &sources)?,
            clients_carry_tokens: info
                .one_of("SessionMarks", &[("client", true), ("router", false)])?,
            weight_meaning: if facts.get("Weights").is_some() {
                top.one_of("Weights", &weights)?
            } else {
                WeightMeaning::None
            },
            subscribe: top.one_of("Discovery", &[("automatic", false), ("subscribe", true)])?,
            poll_interval: rules.optional("AskEvery", unsigned)?.unwrap_or(0),
            health_checks_allowed: yes(&limits, "Probing")?,
            cancel_allowed: yes(&limits, "Cancel")?,
            hedging_allowed: yes(&limits, "SecondCopies")?,
            retry_after_allowed: yes(&limits, "RetryAfter")?,
            max_retry_after: limits.optional("MaxRetryAfter", unsigned)?.unwrap_or(0),
            max_attempts: limits.required("MaxAttempts", unsigned_32)?,
            connect_timeout: limits.optional("DialTimeout", unsigned)?.unwrap_or(250_000),
            connection_idle: limits.optional("ConnIdle", unsigned)?.unwrap_or(60_000_000),
            tick: top.required("Tick", unsigned)?,
            drain_grace: rules.required("DrainGrace", unsigned)?,
            removed_nodes_stay_open: yes(&rules, "DroppedStayOpen")?,
            answer_grace: rules.optional("GraceToAnswer", unsigned)?.unwrap_or(0),
            slow_start_min_share: rules.required("ColdShare", number)?,
            slow_start_duration: rules.required("Cold", unsigned)?,
            overload_factor: rules.required("OverloadFactor", number)?,
            overload_duration: rules.required("OverloadFor", unsigned)?,
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
