//! What operators say of zones.

use plovercove::{Micros, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name, as the node list writes it.
    pub name: String,
    /// How many routers stand in it. The limits on spill are divided by these numbers, since routers share nothing.
    pub routers: u32,
    /// The other zones in order of preference, a list of names for each tier. Empty: by measured latency.
    #[serde(default)]
    pub prefer: Vec<Vec<String>>,
}

/// How a zone that was lost comes back. See [`crate::ramp`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RampRules {
    /// The share of its requests with which a zone begins.
    pub start: f64,
    /// Answers in time that double the share.
    pub answers: u32,
    /// The share never doubles in less than this (ms).
    pub double_ms: u64,
    /// By this factor the share falls when answers are slow.
    pub back: f64,
}

impl Default for RampRules {
    fn default() -> Self {
        RampRules {
            start: 0.1,
            answers: 6,
            double_ms: 700,
            back: 0.6,
        }
    }
}

/// The penalty on flapping, in the way of RFC 2439: each loss adds to it, and it fades by half in a fixed time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlapRules {
    /// What each loss of a zone adds.
    pub each: f64,
    /// From here on a zone that is back gets trials only.
    pub suppress: f64,
    /// Under this it is used again.
    pub reuse: f64,
    /// The time in which the penalty halves (ms).
    pub half_life_ms: u64,
    /// The penalty grows no further.
    pub most: f64,
}

impl Default for FlapRules {
    fn default() -> Self {
        FlapRules {
            each: 1_000.0,
            suppress: 3_000.0,
            reuse: 1_500.0,
            half_life_ms: 8_000,
            most: 4_000.0,
        }
    }
}

/// What operators say of zones, and how strictly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The zone of this router; empty: as the settings tell it.
    #[serde(default)]
    pub home: String,
    /// All zones, the home among them.
    pub zones: Vec<Zone>,
    /// The share of a zone's capacity that requests of all other zones together may take.
    #[serde(default = "default_spill")]
    pub spill: f64,
    /// Seconds of work a second that a node of a kind does at weight 1, where known; elsewhere 1.
    #[serde(default)]
    pub cores: BTreeMap<String, f64>,
    /// The way back.
    #[serde(default)]
    pub ramp: RampRules,
    /// The penalty on flapping.
    #[serde(default)]
    pub flap: FlapRules,
}

fn default_spill() -> f64 {
    0.4
}

/// What is wrong with a key of the rules.
#[derive(
    Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum RuleFaultKind {
    /// No zones, or too many.
    #[error("expected 1 to {MAX_ZONES} zones")]
    Count,
    /// Two zones of one name.
    #[error("two zones have the same name")]
    SameName,
    /// A zone without one.
    #[error("a zone needs a name")]
    NoName,
    /// A zone is preferred that is none.
    #[error("there is no zone {0:?}")]
    NoZone(String),
    /// A zone prefers itself, or another twice.
    #[error("{0:?} is the zone itself or named twice")]
    Twice(String),
    /// The home is no zone.
    #[error("there is no such zone")]
    NoHome,
    /// The platform puts the router in a zone that the file does not know.
    #[error("the router's own zone {0:?} is not among the zones")]
    Elsewhere(String),
    /// A number that cannot be meant.
    #[error("expected {0}")]
    Range(&'static str),
}

impl RuleFaultKind {
    /// What an operator can do.
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

/// What is wrong with the rules: the key at fault and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {kind}")]
pub struct RuleFault {
    /// The path of the key.
    pub key: String,
    /// What is wrong with it.
    pub kind: RuleFaultKind,
}

impl RuleFault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        self.kind.help()
    }
}

/// No more zones than this: each is looked at for every request that spills.
pub const MAX_ZONES: usize = 64;

impl Rules {
    /// Checks the rules as a whole.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn check(&self) -> Result<(), RuleFault> {
        let fault = |key: String, kind| Err(RuleFault { key, kind });
        let share = |v: f64| v > 0.0 && v <= 1.0;
        if self.zones.is_empty() || self.zones.len() > MAX_ZONES {
            return fault("zones".into(), RuleFaultKind::Count);
        }
        let names: BTreeSet<&str> = self.zones.iter().map(|z| z.name.as_str()).collect();
        if names.len() < self.zones.len() {
            return fault("zones".into(), RuleFaultKind::SameName);
        }
        for (place, zone) in self.zones.iter().enumerate() {
            let key = |name: &str| format!("zones[{place}].{name}");
            if zone.name.is_empty() {
                return fault(key("name"), RuleFaultKind::NoName);
            }
            let mut seen = BTreeSet::new();
            for other in zone.prefer.iter().flatten() {
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
        if !(0.0..=1.0).contains(&self.spill) {
            return fault("spill".into(), RuleFaultKind::Range("a share from 0 to 1"));
        }
        if let Some((kind, _)) = self.cores.iter().find(|(_, n)| !(**n > 0.0 && **n < 1e6)) {
            return fault(
                format!("cores.{kind}"),
                RuleFaultKind::Range("a number over 0"),
            );
        }
        let (ramp, flap) = (&self.ramp, &self.flap);
        if !share(ramp.start) {
            return fault(
                "ramp.start".into(),
                RuleFaultKind::Range("a share over 0, to 1"),
            );
        }
        if !(ramp.back > 0.0 && ramp.back < 1.0) {
            return fault(
                "ramp.back".into(),
                RuleFaultKind::Range("a share between 0 and 1"),
            );
        }
        if ramp.answers == 0 {
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
        if !(flap.each > 0.0
            && flap.reuse > 0.0
            && flap.reuse < flap.suppress
            && flap.suppress <= flap.most)
        {
            return fault(
                "flap".into(),
                RuleFaultKind::Range("0 < reuse < suppress <= most, and each over 0"),
            );
        }
        Ok(())
    }

    /// The home zone, where these rules or the settings name one that is known.
    pub fn home_of(&self, settings: &Settings) -> Option<usize> {
        let name = if self.home.is_empty() {
            &settings.zone
        } else {
            &self.home
        };
        self.zones.iter().position(|z| &z.name == name)
    }
}

/// Milliseconds as a span.
pub(crate) fn ms(ms: u64) -> Micros {
    ms.saturating_mul(1_000)
}
