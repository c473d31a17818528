//! The operators' file: a Starlark script of settings that belong to an installation and not to the platform. It is
//! evaluated when the router starts, and again on SIGHUP.

use plovercove::Settings;
use plovercove_script::{Fault, Script};
use plovercove_tiers::{Rules, Tiers};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// What operators may set.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// Zones, the limit on spill and the way back; none: zones matter as little as without the file.
    pub tiers: Option<Rules>,
}

impl Operators {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let script = Script::read(path)?;
        let told: Operators = script.typed()?;
        if let Some(rules) = &told.tiers {
            rules.check().map_err(|e| script.fault(&format!("tiers.{}", e.key), e.why))?;
        }
        Ok(told)
    }

    /// The tiers of a router that is told these settings; none where the file sets none.
    ///
    /// # Errors
    /// Names the key at fault: the router's own zone may be none of the file's.
    pub fn tiers(&self, settings: &Settings, seed: u64) -> Result<Option<Tiers>, String> {
        let tiers = self.tiers.clone().map(|rules| Tiers::new(rules, settings, seed)).transpose();
        tiers.map_err(|e| format!("tiers.{e}"))
    }
}

/// The operators' file of a router that serves, and what its parts are made with.
pub struct Source {
    /// Where it lies.
    pub path: PathBuf,
    /// What the platform tells the router.
    pub settings: Settings,
    /// The seed of its random numbers.
    pub seed: u64,
}

impl Source {
    /// Reads the file again: the tiers that it describes, which know nothing yet.
    ///
    /// # Errors
    /// Names the file, and the line and the key at fault.
    pub fn tiers(&self) -> Result<Option<Tiers>, String> {
        let told = Operators::read(&self.path).map_err(|e| e.to_string())?;
        told.tiers(&self.settings, self.seed).map_err(|e| format!("{}: {e}", self.path.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(name: &str, text: &str) -> Result<Operators, String> {
        let path = std::env::temp_dir().join(format!("plovercove-{}-{name}.star", std::process::id()));
        std::fs::write(&path, text).expect("a folder for temporary files");
        let read = Operators::read(&path).map_err(|e| e.to_string());
        std::fs::remove_file(&path).expect("just written");
        read
    }

    const ZONES: &str = "_zones = [\"a\", \"b\"]\ntiers = {\n  \"spill\": 0.3,\n  \"zones\": [{\"name\": z, \"routers\": 2} for z in _zones],\n}\n";

    #[test]
    fn zones_are_read_and_the_routers_own_must_be_among_them() {
        let told = read("good", ZONES).unwrap_or_else(|e| panic!("{e}"));
        let at = |zone: &str| Settings { zone: zone.into(), ..Settings::default() };
        assert!(told.tiers(&at("a"), 1).is_ok_and(|t| t.is_some()));
        let said = told.tiers(&at("thu-duc"), 1).err().expect("no such zone");
        assert!(said.contains("thu-duc"), "{said}");
        assert!(Operators::default().tiers(&at("a"), 1).is_ok_and(|t| t.is_none()));
    }

    #[test]
    fn what_is_wrong_is_named_with_line_and_key() {
        for (name, from, to, want) in [
            ("spill", "0.3", "1.3", "star:3: tiers.spill: expected a share"),
            ("key", "\"spill\"", "\"spil\"", "star:3: tiers.spil: unknown field"),
            ("kind", "\"routers\": 2", "\"routers\": \"two\"", "tiers.zones[0].routers: invalid type"),
            ("twice", "\"b\"]", "\"a\"]", "two zones have the same name"),
            ("top", "tiers =", "tier =", "tier: unknown field"),
        ] {
            let said = read(name, &ZONES.replace(from, to)).expect_err(want);
            assert!(said.contains(want), "{said} instead of {want}");
        }
    }
}
