//! Starlark scripts as files of settings. A script is evaluated once; its global variables are the settings, but for
//! functions and for names that begin with an underscore. It can read nothing and do nothing, and its steps, memory and
//! depth are bounded, so that a mistake ends with a message and not with a router that hangs.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use starlark::codemap::FileSpanRef;
use starlark::environment::{Globals, Module};
use starlark::eval::{BeforeStmtFunc, Evaluator};
use starlark::syntax::{AstModule, Dialect};
use std::fmt;
use std::panic::{self, AssertUnwindSafe};
use std::path::Path;

/// Steps that a script may take.
const STEPS: u64 = 1_000_000;
/// Bytes that its values may hold.
const MEMORY: usize = 64 * 1024 * 1024;
/// Calls within calls.
const DEPTH: usize = 64;
/// A script is no longer than this.
const LONGEST: u64 = 1024 * 1024;

/// The script holds more than it may.
struct TooMuch;

/// What is wrong.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Cause {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The file is longer than a script may be.
    #[error("is longer than {LONGEST} bytes")]
    TooLong,
    /// The script is none, or fails where it is evaluated, in the evaluator's words.
    #[error("{0}")]
    Script(String),
    /// It holds more than it may.
    #[error("holds more than the limit of {MEMORY} bytes")]
    TooMuch,
    /// The evaluator itself gave up.
    #[error("cannot be evaluated: a value is beyond every limit")]
    BeyondLimits,
    /// A setting that is no plain value.
    #[error("{0}")]
    NoValue(String),
    /// A key that is unknown, is missing, or has a value of the wrong kind.
    #[error("{0}")]
    Key(#[source] serde_json::Error),
    /// A value that cannot be meant, in the words of whoever reads it.
    #[error("{0}")]
    Meaning(String),
}

impl Cause {
    /// What an operator can do.
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

/// A place in a script. Without a line the whole file is meant, without a key the script itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: Option<usize>,
    /// The path of the key.
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

/// What is wrong with a script, and where.
#[derive(Debug, thiserror::Error)]
#[error("{location}: {cause}")]
pub struct ScriptError {
    /// Where.
    pub location: Location,
    /// What.
    pub cause: Cause,
}

impl ScriptError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        self.cause.help()
    }
}

/// A script that has been evaluated.
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
    /// Names the file, the line where there is one, and what is wrong.
    pub fn read(path: &Path) -> Result<Self, ScriptError> {
        let file = path.display().to_string();
        let fault = |cause| ScriptError {
            location: whole_file(&file),
            cause,
        };
        let length = std::fs::metadata(path)
            .map_err(|e| fault(Cause::Unreadable(e)))?
            .len();
        if length > LONGEST {
            return Err(fault(Cause::TooLong));
        }
        let text = std::fs::read_to_string(path).map_err(|e| fault(Cause::Unreadable(e)))?;
        Self::evaluate(&file, &text)
    }

    /// Evaluates a script; `file` is what it is called in messages.
    ///
    /// # Errors
    /// As [`Script::read`].
    pub fn evaluate(file: &str, text: &str) -> Result<Self, ScriptError> {
        let fault = |e: starlark::Error| ScriptError {
            location: Location {
                line: e.span().map(|span| span.resolve_span().begin.line + 1),
                ..whole_file(file)
            },
            cause: Cause::Script(e.without_diagnostic().to_string().trim().to_string()),
        };
        let broken = |cause| ScriptError {
            location: whole_file(file),
            cause,
        };
        let ast = AstModule::parse(file, text.to_string(), &Dialect::Standard).map_err(fault)?;
        let globals = Globals::standard();
        Module::with_temp_heap(|module| {
            {
                let watch = |_: FileSpanRef<'_>, _: bool, evaluator: &mut Evaluator<'_, '_, '_>| {
                    if evaluator.heap().allocated_bytes() > MEMORY {
                        panic::resume_unwind(Box::new(TooMuch));
                    }
                };
                let mut evaluator = Evaluator::new(&module);
                // The evaluator looks at its memory every thousand steps; a value that doubles needs thirty.
                evaluator.before_stmt_for_dap(BeforeStmtFunc::Fn(&watch));
                let bounded = evaluator
                    .set_max_callstack_size(DEPTH)
                    .and_then(|()| evaluator.set_max_heap_size(MEMORY))
                    .and_then(|()| evaluator.set_max_tick_count(STEPS));
                bounded.map_err(|e| broken(Cause::Script(e.to_string())))?;
                let ended = panic::catch_unwind(AssertUnwindSafe(|| {
                    evaluator.eval_module(ast, &globals).map(drop)
                }));
                match ended {
                    Ok(result) => result.map_err(fault)?,
                    Err(cause) if cause.is::<TooMuch>() => {
                        return Err(broken(Cause::TooMuch));
                    }
                    Err(_) => return Err(broken(Cause::BeyondLimits)),
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

    /// The settings as a type.
    ///
    /// # Errors
    /// Names the line and the key at fault.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, ScriptError> {
        self.deserialize_value(Value::Object(self.values.clone()), "")
    }

    /// A value that came of this script as a type; `within` is the key that it stood under.
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
            let why = inner.to_string();
            // An unknown key is named by the message and not by the path.
            let unknown = why
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

    /// A complaint about a key of this script, with its line.
    pub fn error_at(&self, key: &str, why: impl Into<String>) -> ScriptError {
        ScriptError {
            location: self.location(key),
            cause: Cause::Meaning(why.into()),
        }
    }

    /// Where a key of this script stands.
    pub fn location(&self, key: &str) -> Location {
        Location {
            file: self.file.clone(),
            line: line_of(&self.text, key),
            key: key.to_string(),
        }
    }
}

/// A file as a whole.
fn whole_file(file: &str) -> Location {
    Location {
        file: file.to_string(),
        line: None,
        key: String::new(),
    }
}

/// The line on which a key stands: that of its variable, and within it of the first mention of each further part.
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
    let mut at = lines.iter().position(assigns)?;
    for part in parts {
        let quoted = format!("\"{part}\"");
        let named = format!("{part} =");
        let close = format!("{part}=");
        let found = lines[at..]
            .iter()
            .position(|l| l.contains(&quoted) || l.contains(&named) || l.contains(&close));
        at += found.unwrap_or(0);
    }
    Some(at + 1)
}

#[cfg(test)]
mod tests;
