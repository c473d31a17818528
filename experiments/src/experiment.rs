//! An experiment: a script's base, its cases and its variants, and their runs over seeds on all cores.

use crate::error::Error;
use indicatif::{ProgressBar, ProgressStyle};
use plovercove_simulation::{Report, Spec, Variant, run};
use plovercove_starlark_config::Script;
use rayon::prelude::*;
use serde::Serialize;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;
use std::path::Path;

/// An experiment.
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// How routers treat zones, one run for each.
    pub variants: Vec<Variant>,
    /// Its cases, in the script's order of names.
    pub cases: Vec<(String, Spec)>,
}

/// One run.
#[derive(Serialize)]
pub struct Outcome {
    /// The case.
    pub case: String,
    /// How many seconds of wall time it took.
    pub wall: f64,
    /// What came of it.
    pub report: Report,
}

/// Puts `over` on top of `base`: objects are merged, all else is replaced.
pub(crate) fn merge(base: &mut Value, over: Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (key, value) in over {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over,
    }
}

fn of_case(case: &str, fault: impl Into<Error>) -> Error {
    Error::Case {
        case: case.to_string(),
        fault: Box::new(fault.into()),
    }
}

/// What `--set key=value` asks for: the value is JSON, or else text.
fn setting(text: &str) -> Result<Value, Error> {
    let (key, value) = text
        .split_once('=')
        .ok_or_else(|| Error::Set(text.to_string()))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
    Ok(key.rsplit('.').fold(value, |value, part| {
        Value::Object(Map::from_iter([(part.to_string(), value)]))
    }))
}

impl Experiment {
    /// Reads a script, and puts these settings in the place of its own.
    pub fn read(path: &Path, set: &[String]) -> Result<Self, Error> {
        let name = path
            .file_stem()
            .map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        Self::of(name, &Script::read(path)?, set)
    }

    /// Reads a script that is part of the program.
    pub fn from_text(name: &str, text: &str) -> Result<Self, Error> {
        Self::of(name.to_string(), &Script::evaluate(name, text)?, &[])
    }

    fn of(name: String, script: &Script, set: &[String]) -> Result<Self, Error> {
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
        let given: Vec<Value> = set.iter().map(|s| setting(s)).collect::<Result<_, _>>()?;
        let mut read = Vec::new();
        for (case, over) in cases {
            let mut value = Value::Object(base.clone());
            merge(&mut value, over);
            given
                .iter()
                .for_each(|over| merge(&mut value, over.clone()));
            let mut spec: Spec = script
                .deserialize_value(value, "")
                .map_err(|e| of_case(&case, e))?;
            spec.check().map_err(|e| {
                let text = e.to_string();
                let (key, why) = text.split_once(": ").unwrap_or(("", &text));
                of_case(&case, script.error_at(key, why))
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

    /// Plays all cases and variants with each seed. The order of the outcomes is that of cases, variants and seeds.
    pub fn play(&self, seeds: RangeInclusive<u64>) -> Result<Vec<Outcome>, Error> {
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
                let begun = std::time::Instant::now();
                let report = run(&spec, seed).map_err(|e| of_case(case, Error::Model(e)))?;
                bar.inc(1);
                Ok(Outcome {
                    case: case.clone(),
                    wall: begun.elapsed().as_secs_f64(),
                    report,
                })
            })
            .collect();
        bar.finish_and_clear();
        outcomes
    }
}
