//! An experiment: the base settings, cases and variants of a script, and their simulated runs with several seeds on all
//! cores.

use crate::error::Error;
use indicatif::{ProgressBar, ProgressStyle};
use plovercove_simulation::{Report, Spec, Variant, run};
use plovercove_starlark_config::Script;
use rayon::prelude::*;
use serde::Serialize;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;
use std::path::Path;

/// An experiment that was read from a script.
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Variants of the zone policy. Each case runs with each of them.
    pub variants: Vec<Variant>,
    /// Name and specification of each case, sorted by name.
    pub cases: Vec<(String, Spec)>,
}

/// Result of one run.
#[derive(Serialize)]
pub struct Outcome {
    /// Name of the case.
    pub case: String,
    /// Wall-clock duration (s).
    pub wall: f64,
    /// Report of the simulation.
    pub report: Report,
}

/// Merges `overrides` into `base`. Objects are merged recursively, and all other values are replaced.
pub(crate) fn merge(base: &mut Value, overrides: Value) {
    match (base, overrides) {
        (Value::Object(base), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, overrides) => *base = overrides,
    }
}

fn case_error(case: &str, fault: impl Into<Error>) -> Error {
    Error::Case {
        case: case.to_string(),
        fault: Box::new(fault.into()),
    }
}

/// Parses the argument of `--set`. The value is JSON, or a string if it is not valid JSON. Dots in the key separate the
/// levels of nested objects.
fn parse_setting(text: &str) -> Result<Value, Error> {
    let (key, value) = text
        .split_once('=')
        .ok_or_else(|| Error::Set(text.to_string()))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
    Ok(key.rsplit('.').fold(value, |value, part| {
        Value::Object(Map::from_iter([(part.to_string(), value)]))
    }))
}

impl Experiment {
    /// Reads a script, and replaces its settings by those given as `KEY=VALUE`.
    pub fn read(path: &Path, set: &[String]) -> Result<Self, Error> {
        let name = path
            .file_stem()
            .map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        Self::from_script(name, &Script::read(path)?, set)
    }

    /// Reads a script from a text.
    pub fn from_text(name: &str, text: &str) -> Result<Self, Error> {
        Self::from_script(name.to_string(), &Script::evaluate(name, text)?, &[])
    }

    fn from_script(name: String, script: &Script, set: &[String]) -> Result<Self, Error> {
        let mut base = script.values.clone();
        let cases = base
            .remove("cases")
            .unwrap_or_else(|| serde_json::json!({ "all": {} }));
        let variants = base
            .remove("variants")
            .unwrap_or_else(|| serde_json::json!(["tiers"]));
        let Value::Object(cases) = cases else {
            return Err(script
                .error_at("cases", "expected a dict of names and settings")
                .into());
        };
        let variants = script.deserialize_value(variants, "variants")?;
        let given: Vec<Value> = set
            .iter()
            .map(|s| parse_setting(s))
            .collect::<Result<_, _>>()?;
        let mut read = Vec::new();
        for (case, overrides) in cases {
            let mut value = Value::Object(base.clone());
            merge(&mut value, overrides);
            given
                .iter()
                .for_each(|setting| merge(&mut value, setting.clone()));
            let mut spec: Spec = script
                .deserialize_value(value, "")
                .map_err(|e| case_error(&case, e))?;
            spec.check().map_err(|e| {
                let text = e.to_string();
                let (key, why) = text.split_once(": ").unwrap_or(("", &text));
                case_error(&case, script.error_at(key, why))
            })?;
            spec.name.clone_from(&case);
            read.push((case, spec));
        }
        Ok(Experiment {
            name,
            variants,
            cases: read,
        })
    }

    /// Simulates all cases and variants with each seed. The outcomes are ordered by case, variant and seed.
    pub fn simulate(&self, seeds: RangeInclusive<u64>) -> Result<Vec<Outcome>, Error> {
        let mut runs = Vec::new();
        for (name, spec) in &self.cases {
            for variant in &self.variants {
                for seed in seeds.clone() {
                    runs.push((
                        name,
                        Spec {
                            variant: *variant,
                            ..spec.clone()
                        },
                        seed,
                    ));
                }
            }
        }
        let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
        let bar = ProgressBar::new(runs.len() as u64)
            .with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        let outcomes: Result<Vec<Outcome>, Error> = runs
            .into_par_iter()
            .map(|(case, spec, seed)| {
                let started = std::time::Instant::now();
                let report = run(&spec, seed).map_err(|e| case_error(case, Error::Model(e)))?;
                bar.inc(1);
                Ok(Outcome {
                    case: case.clone(),
                    wall: started.elapsed().as_secs_f64(),
                    report,
                })
            })
            .collect();
        bar.finish_and_clear();
        outcomes
    }
}
