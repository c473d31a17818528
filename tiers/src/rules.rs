//! What operators say of zones.

use plovercove::{Settings, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

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
        RampRules { start: 0.1, answers: 6, double_ms: 700, back: 0.6 }
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
        FlapRules { each: 1_000.0, suppress: 3_000.0, reuse: 1_500.0, half_life_ms: 8_000, most: 4_000.0 }
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

/// What is wrong with the rules: the key at fault and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleFault {
    /// The path of the key.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for RuleFault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}: {}", self.key, self.why)
    }
}

impl std::error::Error for RuleFault {}

/// No more zones than this: each is looked at for every request that spills.
pub const MOST_ZONES: usize = 64;

impl Rules {
    /// Checks the rules as a whole.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn check(&self) -> Result<(), RuleFault> {
        let fault = |key: String, why: &str| Err(RuleFault { key, why: why.to_string() });
        let share = |v: f64| v > 0.0 && v <= 1.0;
        if self.zones.is_empty() || self.zones.len() > MOST_ZONES {
            return fault("zones".into(), "expected 1 to 64 zones");
        }
        let names: BTreeSet<&str> = self.zones.iter().map(|z| z.name.as_str()).collect();
        if names.len() < self.zones.len() {
            return fault("zones".into(), "two zones have the same name");
        }
        for (place, zone) in self.zones.iter().enumerate() {
            let key = |name: &str| format!("zones[{place}].{name}");
            if zone.name.is_empty() {
                return fault(key("name"), "a zone needs a name");
            }
            let mut seen = BTreeSet::new();
            for other in zone.prefer.iter().flatten() {
                if !names.contains(other.as_str()) {
                    return fault(key("prefer"), &format!("there is no zone {other:?}"));
                }
                if other == &zone.name || !seen.insert(other) {
                    return fault(key("prefer"), &format!("{other:?} is the zone itself or named twice"));
                }
            }
        }
        if !self.home.is_empty() && !names.contains(self.home.as_str()) {
            return fault("home".into(), "there is no such zone");
        }
        if !(0.0..=1.0).contains(&self.spill) {
            return fault("spill".into(), "expected a share from 0 to 1");
        }
        if let Some((kind, _)) = self.cores.iter().find(|(_, n)| !(**n > 0.0 && **n < 1e6)) {
            return fault(format!("cores.{kind}"), "expected a number over 0");
        }
        let (ramp, flap) = (&self.ramp, &self.flap);
        if !share(ramp.start) {
            return fault("ramp.start".into(), "expected a share over 0, to 1");
        }
        if !(ramp.back > 0.0 && ramp.back < 1.0) {
            return fault("ramp.back".into(), "expected a share between 0 and 1");
        }
        if ramp.answers == 0 {
            return fault("ramp.answers".into(), "expected 1 or more");
        }
        for (key, ms) in [("ramp.double_ms", ramp.double_ms), ("flap.half_life_ms", flap.half_life_ms)] {
            if ms == 0 || ms > 3_600_000 {
                return fault(key.into(), "expected 1 to 3600000 ms");
            }
        }
        if !(flap.each > 0.0 && flap.reuse > 0.0 && flap.reuse < flap.suppress && flap.suppress <= flap.most)
        {
            return fault("flap".into(), "expected 0 < reuse < suppress <= most, and each over 0");
        }
        Ok(())
    }

    /// The home zone, where these rules or the settings name one that is known.
    pub fn home_of(&self, settings: &Settings) -> Option<usize> {
        let name = if self.home.is_empty() { &settings.zone } else { &self.home };
        self.zones.iter().position(|z| &z.name == name)
    }
}

/// Milliseconds as a span.
pub(crate) fn ms(ms: u64) -> Span {
    ms.saturating_mul(1_000)
}
