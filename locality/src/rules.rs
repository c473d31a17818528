//! The operators' settings of zones.

use plovercove::{Micros, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone, as the endpoint list writes it.
    pub name: String,
    /// Number of routers in the zone. Routers share no state, so each takes its share of the spill limits by these numbers.
    pub routers: u32,
    /// Names of the other zones in order of preference, one list for each tier. If empty, the tiers follow the measured
    /// latency.
    #[serde(default, rename = "prefer")]
    pub preferred_tiers: Vec<Vec<String>>,
}

/// Settings of the recovery ramp of a zone that was lost. See [`crate::ramp`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RampRules {
    /// Share of its requests with which a zone begins.
    #[serde(rename = "start")]
    pub start_share: f64,
    /// Number of answers in time after which the share doubles.
    #[serde(rename = "answers")]
    pub answers_to_double: u32,
    /// Minimum time between two doublings (ms).
    pub double_ms: u64,
    /// Factor by which the share falls when answers are slow.
    #[serde(rename = "back")]
    pub fall_factor: f64,
}

impl Default for RampRules {
    fn default() -> Self {
        RampRules {
            start_share: 0.1,
            answers_to_double: 6,
            double_ms: 700,
            fall_factor: 0.6,
        }
    }
}

/// Settings of the penalty on flapping, as in RFC 2439: each loss of a zone adds to its penalty, which decays with a fixed
/// half-life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlapRules {
    /// Penalty for each loss of a zone.
    #[serde(rename = "each")]
    pub penalty_per_loss: f64,
    /// Penalty from which on a zone that answers again gets only trial requests.
    pub suppress: f64,
    /// Penalty below which a suppressed zone is used again.
    pub reuse: f64,
    /// Time in which the penalty halves (ms).
    pub half_life_ms: u64,
    /// Upper limit of the penalty.
    #[serde(rename = "most")]
    pub max_penalty: f64,
}

impl Default for FlapRules {
    fn default() -> Self {
        FlapRules {
            penalty_per_loss: 1_000.0,
            suppress: 3_000.0,
            reuse: 1_500.0,
            half_life_ms: 8_000,
            max_penalty: 4_000.0,
        }
    }
}

/// Settings of zone failover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Zone of this router. If empty, the zone in the router's [`Settings`] applies.
    #[serde(default)]
    pub home: String,
    /// All zones, including the home zone.
    pub zones: Vec<Zone>,
    /// Share of a zone's capacity that the requests of all other zones together may take.
    #[serde(default = "default_max_spill_share", rename = "spill")]
    pub max_spill_share: f64,
    /// Capacity of a node of weight 1 by machine kind, in seconds of work per second. It is 1 for a kind without an entry.
    #[serde(default, rename = "cores")]
    pub capacity_by_machine_kind: BTreeMap<String, f64>,
    /// Recovery ramp.
    #[serde(default)]
    pub ramp: RampRules,
    /// Penalty on flapping.
    #[serde(default)]
    pub flap: FlapRules,
}

fn default_max_spill_share() -> f64 {
    0.4
}

/// Kind of a fault in the settings of zones.
#[derive(
    Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum RuleFaultKind {
    /// There are no zones, or too many.
    #[error("expected 1 to {MAX_ZONES} zones")]
    Count,
    /// Two zones have the same name.
    #[error("two zones have the same name")]
    SameName,
    /// A zone has no name.
    #[error("a zone needs a name")]
    NoName,
    /// A preferred zone does not exist.
    #[error("there is no zone {0:?}")]
    NoZone(String),
    /// A zone prefers itself, or another zone twice.
    #[error("{0:?} is the zone itself or named twice")]
    Twice(String),
    /// The home zone does not exist.
    #[error("there is no such zone")]
    NoHome,
    /// The zone that the platform sets for the router is not among the zones.
    #[error("the router's own zone {0:?} is not among the zones")]
    Elsewhere(String),
    /// A number is out of its range.
    #[error("expected {0}")]
    Range(&'static str),
}

impl RuleFaultKind {
    /// Returns what an operator can do about the fault.
    pub fn help(&self) -> &'static str {
        match self {
            RuleFaultKind::Count => {
                "list every zone of the installation once under tiers.zones; more than 64 need one file for each part"
            }
            RuleFaultKind::SameName => "give each zone the name that the node list writes, once",
            RuleFaultKind::NoName => "name the zone as the node list does",
            RuleFaultKind::NoZone(_) => {
                "correct the name under prefer, or add that zone to tiers.zones"
            }
            RuleFaultKind::Twice(_) => {
                "name each other zone once over all tiers of prefer, and the zone itself never"
            }
            RuleFaultKind::NoHome => "leave home out, or set it to a name of tiers.zones",
            RuleFaultKind::Elsewhere(_) => {
                "add the zone that the platform tells this router (settings.Zone) to tiers.zones, or set tiers.home"
            }
            RuleFaultKind::Range(_) => {
                "set this key within these bounds, or leave it out for the default"
            }
        }
    }
}

/// Fault in the settings of zones.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {kind}")]
pub struct RuleFault {
    /// Path of the key at fault.
    pub key: String,
    /// Kind of the fault.
    pub kind: RuleFaultKind,
}

impl RuleFault {
    /// Returns what an operator can do about the fault.
    pub fn help(&self) -> &'static str {
        self.kind.help()
    }
}

/// Maximum number of zones. The policy examines each of them for every request that spills over.
pub const MAX_ZONES: usize = 64;

impl Rules {
    /// Checks that the settings are valid and consistent.
    ///
    /// # Errors
    /// Returns the first key at fault.
    pub fn check(&self) -> Result<(), RuleFault> {
        let fault = |key: String, kind| Err(RuleFault { key, kind });
        let is_share = |value: f64| value > 0.0 && value <= 1.0;
        if self.zones.is_empty() || self.zones.len() > MAX_ZONES {
            return fault("zones".into(), RuleFaultKind::Count);
        }
        let names: BTreeSet<&str> = self.zones.iter().map(|z| z.name.as_str()).collect();
        if names.len() < self.zones.len() {
            return fault("zones".into(), RuleFaultKind::SameName);
        }
        for (index, zone) in self.zones.iter().enumerate() {
            let key = |name: &str| format!("zones[{index}].{name}");
            if zone.name.is_empty() {
                return fault(key("name"), RuleFaultKind::NoName);
            }
            let mut seen = BTreeSet::new();
            for other in zone.preferred_tiers.iter().flatten() {
                if !names.contains(other.as_str()) {
                    return fault(key("prefer"), RuleFaultKind::NoZone(other.clone()));
                }
                if other == &zone.name || !seen.insert(other) {
                    return fault(key("prefer"), RuleFaultKind::Twice(other.clone()));
                }
            }
        }
        if !self.home.is_empty() && !names.contains(self.home.as_str()) {
            return fault("home".into(), RuleFaultKind::NoHome);
        }
        if !(0.0..=1.0).contains(&self.max_spill_share) {
            return fault("spill".into(), RuleFaultKind::Range("a share from 0 to 1"));
        }
        if let Some((kind, _)) = self
            .capacity_by_machine_kind
            .iter()
            .find(|(_, capacity)| !(**capacity > 0.0 && **capacity < 1e6))
        {
            return fault(
                format!("cores.{kind}"),
                RuleFaultKind::Range("a number over 0"),
            );
        }
        let (ramp, flap) = (&self.ramp, &self.flap);
        if !is_share(ramp.start_share) {
            return fault(
                "ramp.start".into(),
                RuleFaultKind::Range("a share over 0, to 1"),
            );
        }
        if !(ramp.fall_factor > 0.0 && ramp.fall_factor < 1.0) {
            return fault(
                "ramp.back".into(),
                RuleFaultKind::Range("a share between 0 and 1"),
            );
        }
        if ramp.answers_to_double == 0 {
            return fault("ramp.answers".into(), RuleFaultKind::Range("1 or more"));
        }
        for (key, ms) in [
            ("ramp.double_ms", ramp.double_ms),
            ("flap.half_life_ms", flap.half_life_ms),
        ] {
            if ms == 0 || ms > 3_600_000 {
                return fault(key.into(), RuleFaultKind::Range("1 to 3600000 ms"));
            }
        }
        if !(flap.penalty_per_loss > 0.0
            && flap.reuse > 0.0
            && flap.reuse < flap.suppress
            && flap.suppress <= flap.max_penalty)
        {
            return fault(
                "flap".into(),
                RuleFaultKind::Range("0 < reuse < suppress <= most, and each over 0"),
            );
        }
        Ok(())
    }

    /// Returns the index of the home zone, which these rules or else the router's settings name, or `None` if it is not
    /// among the zones.
    pub fn home_of(&self, settings: &Settings) -> Option<usize> {
        let name = if self.home.is_empty() {
            &settings.zone
        } else {
            &self.home
        };
        self.zones.iter().position(|zone| &zone.name == name)
    }
}

/// Converts milliseconds to microseconds.
pub(crate) fn ms_to_us(ms: u64) -> Micros {
    ms.saturating_mul(1_000)
}
