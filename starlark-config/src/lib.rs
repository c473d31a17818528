//! Settings files written in Starlark. A script is evaluated once, and its global variables are the settings, except
//! functions and names that begin with an underscore. A script has no access to files or the network. Its steps, memory
//! and call depth are bounded, so that a faulty script leads to an error message and not to a router that hangs.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use starlark::codemap::FileSpanRef;
use starlark::environment::{Globals, Module};
use starlark::eval::{BeforeStmtFunc, Evaluator};
use starlark::syntax::{AstModule, Dialect};
use std::fmt;
use std::panic::{self, AssertUnwindSafe};
use std::path::Path;

/// Maximum number of evaluation steps of a script.
const MAX_STEPS: u64 = 1_000_000;
/// Maximum size of a script's values.
const MAX_MEMORY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum depth of nested calls.
const MAX_CALL_DEPTH: usize = 64;
/// Maximum length of a script.
const MAX_SCRIPT_BYTES: u64 = 1024 * 1024;

/// Panic payload that ends a script whose values are larger than `MAX_MEMORY_BYTES`.
struct MemoryExceeded;

/// The cause of an error in a script.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Cause {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The file is longer than a script may be.
    #[error("is longer than {MAX_SCRIPT_BYTES} bytes")]
    TooLong,
    /// The script has a syntax error or fails during evaluation. The text comes from the evaluator.
    #[error("{0}")]
    Script(String),
    /// The script's values are larger than the limit.
    #[error("holds more than the limit of {MAX_MEMORY_BYTES} bytes")]
    TooMuch,
    /// The evaluator panicked.
    #[error("cannot be evaluated: a value is beyond every limit")]
    BeyondLimits,
    /// A setting whose value cannot be converted to JSON.
    #[error("{0}")]
    NoValue(String),
    /// A key that is unknown, is missing, or has a value of the wrong kind.
    #[error("{0}")]
    Key(#[source] serde_json::Error),
    /// A value that the reader of the settings rejects. The text comes from the reader.
    #[error("{0}")]
    Meaning(String),
}

impl Cause {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            Cause::Unreadable(_) => "name a file that is there and that the router's user may read",
            Cause::TooLong => {
                "keep settings alone in the script, and write what repeats as a function or a loop"
            }
            Cause::Script(_) => {
                "correct the script at that line; it is Starlark, which has no import, no while and no recursion, and it may take a million steps"
            }
            Cause::TooMuch => {
                "build smaller values; a list that is joined to itself over and over is the usual cause"
            }
            Cause::BeyondLimits => {
                "nobody can act on this one: send in the script and the version of plovercove"
            }
            Cause::NoValue(_) => {
                "settings are texts, numbers, lists and dicts; begin the names of all else with an underscore"
            }
            Cause::Key(_) => {
                "correct the key at that line; the operators' pages list all keys and what each may be"
            }
            Cause::Meaning(_) => {
                "correct the value at that line; the operators' pages say what it may be"
            }
        }
    }
}

/// A location in a script. Without a line it is the whole file, and without a key the script itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: Option<usize>,
    /// The path of the key, such as `zones[1].routers`.
    pub key: String,
}

impl fmt::Display for Location {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(to, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(to, ": {}", self.key)?;
        }
        Ok(())
    }
}

/// An error in a script and its location.
#[derive(Debug, thiserror::Error)]
#[error("{location}: {cause}")]
pub struct ScriptError {
    /// The location.
    pub location: Location,
    /// The cause.
    pub cause: Cause,
}

impl ScriptError {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        self.cause.help()
    }
}

/// An evaluated script.
#[derive(Clone, Debug)]
pub struct Script {
    file: String,
    text: String,
    /// Its settings.
    pub values: Map<String, Value>,
}

impl Script {
    /// Reads and evaluates a file.
    ///
    /// # Errors
    /// Names the file, the line if it is known, and the cause.
    pub fn read(path: &Path) -> Result<Self, ScriptError> {
        let file = path.display().to_string();
        let file_error = |cause| ScriptError {
            location: whole_file(&file),
            cause,
        };
        let length = std::fs::metadata(path)
            .map_err(|e| file_error(Cause::Unreadable(e)))?
            .len();
        if length > MAX_SCRIPT_BYTES {
            return Err(file_error(Cause::TooLong));
        }
        let text = std::fs::read_to_string(path).map_err(|e| file_error(Cause::Unreadable(e)))?;
        Self::evaluate(&file, &text)
    }

    /// Evaluates a script. Messages call it `file`.
    ///
    /// # Errors
    /// As [`Script::read`].
    pub fn evaluate(file: &str, text: &str) -> Result<Self, ScriptError> {
        let script_error = |e: starlark::Error| ScriptError {
            location: Location {
                line: e.span().map(|span| span.resolve_span().begin.line + 1),
                ..whole_file(file)
            },
            cause: Cause::Script(e.without_diagnostic().to_string().trim().to_string()),
        };
        let file_error = |cause| ScriptError {
            location: whole_file(file),
            cause,
        };
        let ast =
            AstModule::parse(file, text.to_string(), &Dialect::Standard).map_err(script_error)?;
        let globals = Globals::standard();
        Module::with_temp_heap(|module| {
            {
                let check_memory =
                    |_: FileSpanRef<'_>, _: bool, evaluator: &mut Evaluator<'_, '_, '_>| {
                        if evaluator.heap().allocated_bytes() > MAX_MEMORY_BYTES {
                            panic::resume_unwind(Box::new(MemoryExceeded));
                        }
                    };
                let mut evaluator = Evaluator::new(&module);
                // The evaluator checks its memory only every thousand steps, and a value that doubles in each step exceeds
                // every limit after thirty. This hook checks the memory before each statement.
                evaluator.before_stmt_for_dap(BeforeStmtFunc::Fn(&check_memory));
                let bounded = evaluator
                    .set_max_callstack_size(MAX_CALL_DEPTH)
                    .and_then(|()| evaluator.set_max_heap_size(MAX_MEMORY_BYTES))
                    .and_then(|()| evaluator.set_max_tick_count(MAX_STEPS));
                bounded.map_err(|e| file_error(Cause::Script(e.to_string())))?;
                let outcome = panic::catch_unwind(AssertUnwindSafe(|| {
                    evaluator.eval_module(ast, &globals).map(drop)
                }));
                match outcome {
                    Ok(result) => result.map_err(script_error)?,
                    Err(cause) if cause.is::<MemoryExceeded>() => {
                        return Err(file_error(Cause::TooMuch));
                    }
                    Err(_) => return Err(file_error(Cause::BeyondLimits)),
                }
            }
            let mut values = Map::new();
            for name in module.names() {
                let name = name.as_str();
                let Some(value) = module.get(name).filter(|v| v.get_type() != "function") else {
                    continue;
                };
                if name.starts_with('_') {
                    continue;
                }
                let json = value.to_json_value().map_err(|e| ScriptError {
                    location: Location {
                        line: line_of(text, name),
                        key: name.to_string(),
                        ..whole_file(file)
                    },
                    cause: Cause::NoValue(e.to_string()),
                })?;
                values.insert(name.to_string(), json);
            }
            Ok(Script {
                file: file.to_string(),
                text: text.to_string(),
                values,
            })
        })
    }

    /// Deserializes the settings.
    ///
    /// # Errors
    /// Names the line and the invalid key.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, ScriptError> {
        self.deserialize_value(Value::Object(self.values.clone()), "")
    }

    /// Deserializes a value of this script. `within` is the key under which the script has it.
    ///
    /// # Errors
    /// As [`Script::deserialize`].
    pub fn deserialize_value<T: DeserializeOwned>(
        &self,
        value: Value,
        within: &str,
    ) -> Result<T, ScriptError> {
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let inner = e.into_inner();
            let message = inner.to_string();
            // For an unknown key, serde names the key in the message and not in the path.
            let unknown = message
                .strip_prefix("unknown field `")
                .and_then(|rest| rest.split('`').next());
            let path = match (path.as_str(), unknown) {
                (".", None) => String::new(),
                (".", Some(name)) => name.to_string(),
                (path, Some(name)) if !path.ends_with(name) => format!("{path}.{name}"),
                (path, _) => path.to_string(),
            };
            let key = if within.is_empty() {
                path
            } else {
                format!("{within}.{path}")
            };
            ScriptError {
                location: self.location(key.trim_end_matches('.')),
                cause: Cause::Key(inner),
            }
        })
    }

    /// Returns an error about a key of this script, with the key's line.
    pub fn error_at(&self, key: &str, reason: impl Into<String>) -> ScriptError {
        ScriptError {
            location: self.location(key),
            cause: Cause::Meaning(reason.into()),
        }
    }

    /// Returns the location of a key in this script.
    pub fn location(&self, key: &str) -> Location {
        Location {
            file: self.file.clone(),
            line: line_of(&self.text, key),
            key: key.to_string(),
        }
    }
}

/// Returns the location that stands for a whole file.
fn whole_file(file: &str) -> Location {
    Location {
        file: file.to_string(),
        line: None,
        key: String::new(),
    }
}

/// Returns the line of a key: that of its variable, and from there the first line that mentions each further part.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let mut parts = key
        .split(['.', '[', ']'])
        .filter(|p| !p.is_empty() && p.parse::<usize>().is_err());
    let first = parts.next()?;
    let lines: Vec<&str> = text.lines().collect();
    let assigns = |line: &&str| {
        line.strip_prefix(first)
            .is_some_and(|rest| rest.trim_start().starts_with('='))
    };
    let mut index = lines.iter().position(assigns)?;
    for part in parts {
        let quoted = format!("\"{part}\"");
        let assigned = format!("{part} =");
        let assigned_unspaced = format!("{part}=");
        let found = lines[index..].iter().position(|l| {
            l.contains(&quoted) || l.contains(&assigned) || l.contains(&assigned_unspaced)
        });
        index += found.unwrap_or(0);
    }
    Some(index + 1)
}

#[cfg(test)]
mod tests;
