//! Reads the settings that the platform writes as JSON: checks them, fills in the defaults, names the key of a fault, and
//! builds the decision module's `Settings`. The simulator adapter and the router both use it.

use plovercove::*;
use simd_json::StaticNode;
use simd_json::prelude::*;
use std::collections::BTreeMap;

/// A JSON value.
pub use simd_json::OwnedValue as Value;

/// A fault of the input, with its location.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Fault {
    /// The input is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] simd_json::Error),
    /// A value has the wrong kind.
    #[error("{key}: expected {want}, got {got}")]
    Kind {
        /// The path of its key.
        key: String,
        /// The expected kind.
        want: String,
        /// The value, shortened if it is long.
        got: String,
    },
    /// A required key is missing.
    #[error("{0} is missing")]
    Missing(String),
    /// A value is none of the allowed names.
    #[error("{key}: {got:?} is unknown")]
    Unknown {
        /// The path of its key.
        key: String,
        /// The value.
        got: String,
    },
    /// Another fault, with its text.
    #[error("{0}")]
    Meaning(String),
    /// A fault with the location that it belongs to.
    #[error("{location}: {fault}")]
    Within {
        /// The location.
        location: String,
        /// The fault.
        #[source]
        fault: Box<Fault>,
    },
}

impl Fault {
    /// Creates a fault with this text.
    pub fn new(text: impl Into<String>) -> Self {
        Fault::Meaning(text.into())
    }

    /// Adds the location that the fault belongs to.
    pub fn within(self, location: &str) -> Self {
        Fault::Within {
            location: location.to_string(),
            fault: Box::new(self),
        }
    }

    /// Returns advice for the operator.
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

/// The value that was read, or a fault.
pub type ReadResult<T> = Result<T, Fault>;

/// The module's settings, and values that only the simulator adapter needs.
pub struct ParsedSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The time from which the simulator counts positions.
    pub position_epoch: u64,
    /// The names of the columns of a load report.
    pub report_columns: Vec<String>,
}

/// The indexes of classes and tenants by their names.
pub struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

impl Names {
    /// Collects the names in these settings.
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map(|c| c.name.clone());
        let tenants = settings.tenants.iter().map(|t| t.name.clone());
        Names {
            classes: classes.zip(0..).collect(),
            tenants: tenants.zip(0..).collect(),
        }
    }

    /// Returns the index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// Returns the index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}

/// Parses a JSON value.
pub fn parse(mut json: Vec<u8>) -> ReadResult<Value> {
    simd_json::to_owned_value(&mut json).map_err(Fault::NotJson)
}

/// Returns the fault of a value of the wrong kind. `key` is the path of the key.
pub fn wrong_kind(key: &str, want: &str, got: &Value) -> Fault {
    let mut text: String = got.encode();
    if text.chars().count() > 60 {
        text = text.chars().take(60).collect::<String>() + "...";
    }
    Fault::Kind {
        key: key.to_string(),
        want: want.to_string(),
        got: text,
    }
}

/// Reads an unsigned integer.
pub fn unsigned(value: &Value, key: &str) -> ReadResult<u64> {
    let as_float = || {
        value
            .as_f64()
            .filter(|f| f.fract() == 0.0 && (0.0..1.8e19).contains(f))
            .map(|f| f as u64)
    };
    value
        .as_u64()
        .or_else(as_float)
        .ok_or_else(|| wrong_kind(key, "a whole number", value))
}

/// Reads an unsigned integer of 32 bits.
pub fn unsigned_32(value: &Value, key: &str) -> ReadResult<u32> {
    u32::try_from(unsigned(value, key)?)
        .map_err(|_| wrong_kind(key, "a whole number under 2^32", value))
}

/// Reads a number.
pub fn number(value: &Value, key: &str) -> ReadResult<f64> {
    value
        .cast_f64()
        .ok_or_else(|| wrong_kind(key, "a number", value))
}

/// Reads a string.
pub fn text<'a>(value: &'a Value, key: &str) -> ReadResult<&'a str> {
    value.as_str().ok_or_else(|| wrong_kind(key, "text", value))
}

/// Reads a boolean.
pub fn boolean(value: &Value, key: &str) -> ReadResult<bool> {
    value
        .as_bool()
        .ok_or_else(|| wrong_kind(key, "true or false", value))
}

/// Reads a list.
pub fn list<'a>(value: &'a Value, key: &str) -> ReadResult<&'a Vec<Value>> {
    value
        .as_array()
        .ok_or_else(|| wrong_kind(key, "a list", value))
}

/// An object in the settings, with its path for faults.
pub struct Section<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Section<'a> {
    /// Creates a section from a value. `path` is the prefix of the paths of its keys.
    pub fn new(value: &'a Value, path: impl Into<String>) -> Self {
        Section {
            value,
            path: path.into(),
        }
    }

    /// Returns a required section in this section.
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

    /// Returns an optional section in this section. Null counts as missing.
    pub fn optional_section(&self, key: &str) -> ReadResult<Option<Section<'a>>> {
        match self.value.get(key) {
            None | Some(Value::Static(StaticNode::Null)) => Ok(None),
            Some(_) => self.section(key).map(Some),
        }
    }

    /// Reads a required value.
    pub fn required<T>(
        &self,
        key: &str,
        read_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<T> {
        let path = format!("{}{key}", self.path);
        match self.value.get(key) {
            Some(value) => read_kind(value, &path),
            None => Err(Fault::Missing(path)),
        }
    }

    /// Reads an optional value. Null counts as missing.
    pub fn optional<T>(
        &self,
        key: &str,
        read_kind: impl Fn(&'a Value, &str) -> ReadResult<T>,
    ) -> ReadResult<Option<T>> {
        match self.value.get(key) {
            None | Some(Value::Static(StaticNode::Null)) => Ok(None),
            Some(value) => read_kind(value, &format!("{}{key}", self.path)).map(Some),
        }
    }

    /// Reads a required name and returns the value that `names` assigns to it.
    pub fn one_of<T: Clone>(&self, key: &str, names: &[(&str, T)]) -> ReadResult<T> {
        let got = self.required(key, text)?;
        let found = names
            .iter()
            .find(|(name, _)| *name == got)
            .map(|(_, meaning)| meaning.clone());
        found.ok_or_else(|| Fault::Unknown {
            key: format!("{}{key}", self.path),
            got: got.to_string(),
        })
    }
}

/// Reads the settings. `path` is the prefix of the paths of their keys.
pub fn read_settings(value: &Value, path: &str) -> ReadResult<ParsedSettings> {
    let top = Section::new(value, path);
    let (family_info, limits, rules) = (
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
    let optional_flag = |section: &Section<'_>, key: &str| -> ReadResult<bool> {
        Ok(section.optional(key, boolean)?.unwrap_or(false))
    };
    let hold_time = family_info.optional("HoldsFor", unsigned)?.unwrap_or(0);
    let class_access = family_info.required("ClassRead", list)?;
    let staleness_bounds = family_info.optional("MaxAge", list)?;
    let classes = top
        .required("Profiles", list)?
        .iter()
        .enumerate()
        .map(|(index, value)| {
            let section = Section::new(value, format!("{path}Profiles[{index}]."));
            let staleness_bound = staleness_bounds
                .and_then(|b| b.get(index))
                .map(|v| unsigned(v, &format!("{path}FamilyInfo.MaxAge[{index}]")))
                .transpose()?;
            let read = class_access
                .get(index)
                .ok_or_else(|| Fault::Missing(format!("{path}FamilyInfo.ClassRead[{index}]")))?;
            let access = match text(read, &format!("{path}FamilyInfo.ClassRead[{index}]"))? {
                "update" => Access::Write,
                "latest" => Access::Latest,
                "own_writes" => Access::OwnWrites,
                "recent" => Access::Bounded(staleness_bound.unwrap_or(0)),
                "loose" => Access::Any,
                other => {
                    return Err(Fault::Unknown {
                        key: format!("{path}FamilyInfo.ClassRead[{index}]"),
                        got: other.to_string(),
                    });
                }
            };
            let idempotencies = [
                ("idempotent", Idempotency::Idempotent),
                ("deduplicated", Idempotency::Deduplicated),
                ("at_most_once", Idempotency::AtMostOnce),
            ];
            let dedup_scopes = [
                ("all", DedupScope::All),
                ("zone", DedupScope::Zone),
                ("cell", DedupScope::Group),
            ];
            Ok(Class {
                name: section.required("Name", text)?.to_string(),
                access,
                latency_objective: section.required("Aim", unsigned)?,
                objective_per_cost: section.optional("AimStretch", number)?.unwrap_or(0.0),
                deadline: section.required("Deadline", unsigned)?,
                priority_weight: section.optional("Gain", number)?.unwrap_or(1.0),
                late_weight_share: section.optional("LateWorth", number)?.unwrap_or(0.0),
                idempotency: section.one_of("Effect", &idempotencies)?,
                dedup_scope: if section.value.get("Group").is_some() {
                    section.one_of("Group", &dedup_scopes)?
                } else {
                    DedupScope::Group
                },
                dedup_window: section.optional("Window", unsigned)?.unwrap_or(0),
                stream: optional_flag(&section, "Stream")?,
            })
        });
    let tenants = top
        .optional("Customers", list)?
        .into_iter()
        .flatten()
        .enumerate()
        .map(|(index, value)| {
            let section = Section::new(value, format!("{path}Customers[{index}]."));
            Ok(Tenant {
                name: section.required("Name", text)?.to_string(),
                quota_per_s: section
                    .optional("AllowancePerS", number)?
                    .unwrap_or(f64::INFINITY),
            })
        });
    let replica_checks = [
        ("silent", ReplicaCheck::None),
        ("reject", ReplicaCheck::Reject),
        ("hold", ReplicaCheck::Wait(hold_time)),
    ];
    let role_sources = [
        ("delayed", RoleSource::Late),
        ("initial", RoleSource::Initial),
        ("silent", RoleSource::None),
    ];
    let report_sources = [
        ("piggyback", ReportSource::Answers),
        ("pull", ReportSource::HealthChecks),
        ("silent", ReportSource::None),
    ];
    let weight_meanings = [
        ("silent", WeightMeaning::None),
        ("nominal", WeightMeaning::Size),
        ("rough", WeightMeaning::Size),
        ("live", WeightMeaning::Live),
    ];
    let column_names = report.optional("Names", list)?;
    let columns = column_names
        .into_iter()
        .flatten()
        .map(|v| text(v, "Report.Names").map(str::to_string));
    Ok(ParsedSettings {
        position_epoch: family_info.optional("BaseTime", unsigned)?.unwrap_or(0),
        report_columns: columns.collect::<ReadResult<_>>()?,
        settings: Settings {
            router_index: top.required("SlotNo", unsigned_32)?,
            router_count: top.required("Balancers", unsigned_32)?,
            zone: top.optional("Zone", text)?.unwrap_or("").to_string(),
            classes: classes.collect::<ReadResult<_>>()?,
            tenants: tenants.collect::<ReadResult<_>>()?,
            over_quota_weight: top.optional("OverShareWorth", number)?.unwrap_or(1.0),
            weight_per_work: top.optional("CountedBy", text)? == Some("work"),
            replica_check: family_info.one_of("ServerChecks", &replica_checks)?,
            role_source: family_info.one_of("ShowsRole", &role_sources)?,
            reports: report.one_of("How", &report_sources)?,
            clients_carry_tokens: family_info
                .one_of("SessionMarks", &[("client", true), ("router", false)])?,
            weight_meaning: if value.get("Weights").is_some() {
                top.one_of("Weights", &weight_meanings)?
            } else {
                WeightMeaning::None
            },
            subscribe: top.one_of("Discovery", &[("automatic", false), ("subscribe", true)])?,
            poll_interval: rules.optional("AskEvery", unsigned)?.unwrap_or(0),
            health_checks_allowed: optional_flag(&limits, "Probing")?,
            cancel_allowed: optional_flag(&limits, "Cancel")?,
            hedging_allowed: optional_flag(&limits, "SecondCopies")?,
            retry_after_allowed: optional_flag(&limits, "RetryAfter")?,
            max_retry_after: limits.optional("MaxRetryAfter", unsigned)?.unwrap_or(0),
            max_attempts: limits.required("MaxAttempts", unsigned_32)?,
            connect_timeout: limits.optional("DialTimeout", unsigned)?.unwrap_or(250_000),
            connection_idle: limits.optional("ConnIdle", unsigned)?.unwrap_or(60_000_000),
            tick: top.required("Tick", unsigned)?,
            drain_grace: rules.required("DrainGrace", unsigned)?,
            removed_nodes_stay_open: optional_flag(&rules, "DroppedStayOpen")?,
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
