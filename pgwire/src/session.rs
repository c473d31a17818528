//! What a session has set, where servers' connections are shared: settings that the router can keep itself.

use crate::SqlError;
use crate::messages::code;
use crate::values::{Bytea, DateFormat, ValueFormats};

/// Settings that change nothing of what clients get; they are taken and forgotten.
const HARMLESS: [&str; 9] = [
    "application_name",
    "client_min_messages",
    "cpu_tuple_cost",
    "enable_seqscan",
    "extra_float_digits",
    "geqo",
    "ksqo",
    "random_page_cost",
    "work_mem",
];
/// Settings whose value is the same for all, as the installation has it.
const FIXED: [(&str, &str); 3] = [
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
];

/// One session's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    start: ValueFormats,
    /// The forms of its values.
    pub formats: ValueFormats,
    /// Milliseconds that it waits for a statement, where it has said so.
    pub timeout_ms: Option<u64>,
}

impl Session {
    /// One whose values have these forms unless it sets others.
    pub fn new(start: ValueFormats) -> Self {
        Session {
            start,
            formats: start,
            timeout_ms: None,
        }
    }

    /// Sets something, or sets it back; what the client is to be told of settings that changed.
    ///
    /// # Errors
    /// The router cannot keep that setting, or the value is none.
    pub fn set(
        &mut self,
        name: &str,
        value: Option<&str>,
    ) -> Result<Option<(&'static str, String)>, SqlError> {
        let name = name.to_ascii_lowercase();
        let value = value.filter(|v| !v.eq_ignore_ascii_case("default"));
        let wrong =
            |value: &str| SqlError::new("22023", format!("{name}: {value:?} is no value for it"));
        match name.as_str() {
            "all" => {
                *self = Session::new(self.start);
                Ok(None)
            }
            "datestyle" => {
                let dates = value.map_or(Some(self.start.dates), |v| {
                    DateFormat::with_setting(self.formats.dates, v)
                });
                self.formats.dates = dates.ok_or_else(|| wrong(value.unwrap_or_default()))?;
                Ok(Some(("DateStyle", self.formats.dates.setting_value())))
            }
            "bytea_output" => {
                self.formats.bytea = match value.map(str::to_ascii_lowercase).as_deref() {
                    None => self.start.bytea,
                    Some("hex") => Bytea::Hex,
                    Some("escape") => Bytea::Escape,
                    Some(other) => return Err(wrong(other)),
                };
                Ok(None)
            }
            "statement_timeout" => {
                let ms = |text: &str| {
                    let (digits, unit) = text.split_at(
                        text.find(|c: char| !c.is_ascii_digit())
                            .unwrap_or(text.len()),
                    );
                    let times = match unit.trim() {
                        "" | "ms" => 1,
                        "s" => 1_000,
                        "min" => 60_000,
                        _ => return None,
                    };
                    digits.parse::<u64>().ok()?.checked_mul(times)
                };
                let timeout = value.map(|v| ms(v).ok_or_else(|| wrong(v))).transpose()?;
                self.timeout_ms = timeout.filter(|ms| *ms > 0);
                Ok(None)
            }
            _ if HARMLESS.contains(&name.as_str()) => Ok(None),
            _ => match FIXED.iter().find(|(known, _)| *known == name) {
                Some((_, fixed)) if value.is_none_or(|v| same(v, fixed)) => Ok(None),
                Some((_, fixed)) => Err(SqlError::new(
                    code::FEATURE_NOT_SUPPORTED,
                    format!("{name}: only {fixed} is offered here"),
                )),
                None => Err(SqlError::new(
                    code::FEATURE_NOT_SUPPORTED,
                    format!(
                        "SET {name} needs a session of its own with one server, which this listener does not give"
                    ),
                )),
            },
        }
    }
}

/// Encodings are written with and without a dash, in any case.
fn same(a: &str, b: &str) -> bool {
    let plain = |text: &str| text.replace(['-', '_', '\''], "").to_ascii_lowercase();
    let (a, b) = (plain(a), plain(b));
    a == b
        || (b == "utf8" && a == "unicode")
        || (b == "on" && ["true", "yes", "1"].contains(&a.as_str()))
}

#[cfg(test)]
mod tests;
