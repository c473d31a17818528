//! Settings of a client's session. The router keeps them itself, since connections to servers are shared between clients.

use crate::messages::code;
use crate::values::{Bytea, DateFormat, ValueFormats};
use crate::{SqlError, excerpt};

/// Settings that do not affect what clients receive; the router accepts and ignores them.
const IGNORED_SETTINGS: [&str; 9] = [
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
/// Settings with the same value for all clients, that of the servers; no other value is accepted.
const FIXED_SETTINGS: [(&str, &str); 3] = [
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
];

/// The settings of one session.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    initial_formats: ValueFormats,
    /// The text formats of values.
    pub formats: ValueFormats,
    /// The statement timeout in milliseconds, if the client has set one.
    pub timeout_ms: Option<u64>,
}

impl Session {
    /// Returns the settings of a new session, whose values have these formats until the client sets others.
    pub fn new(initial_formats: ValueFormats) -> Self {
        Session {
            initial_formats,
            formats: initial_formats,
            timeout_ms: None,
        }
    }

    /// Changes a setting, or resets it if `value` is `None`. Returns name and value of the setting if its change has to be
    /// reported to the client by ParameterStatus.
    ///
    /// # Errors
    /// Returns an error if the router cannot keep this setting, or the value is invalid.
    pub fn set(
        &mut self,
        name: &str,
        value: Option<&str>,
    ) -> Result<Option<(&'static str, String)>, SqlError> {
        let name = name.to_ascii_lowercase();
        let shown_name = excerpt(&name);
        let value = value.filter(|v| !v.eq_ignore_ascii_case("default"));
        let invalid_value = |value: &str| {
            SqlError::new(
                code::INVALID_PARAMETER_VALUE,
                format!("{shown_name}: {:?} is no value for it", excerpt(value)),
            )
        };
        match name.as_str() {
            "all" => {
                *self = Session::new(self.initial_formats);
                Ok(None)
            }
            "datestyle" => {
                let dates = value.map_or(Some(self.initial_formats.dates), |v| {
                    DateFormat::with_setting(self.formats.dates, v)
                });
                self.formats.dates =
                    dates.ok_or_else(|| invalid_value(value.unwrap_or_default()))?;
                Ok(Some(("DateStyle", self.formats.dates.setting_value())))
            }
            "bytea_output" => {
                self.formats.bytea = match value.map(str::to_ascii_lowercase).as_deref() {
                    None => self.initial_formats.bytea,
                    Some("hex") => Bytea::Hex,
                    Some("escape") => Bytea::Escape,
                    Some(other) => return Err(invalid_value(other)),
                };
                Ok(None)
            }
            "statement_timeout" => {
                let parse_ms = |text: &str| {
                    let (digits, unit) = text.split_at(
                        text.find(|c: char| !c.is_ascii_digit())
                            .unwrap_or(text.len()),
                    );
                    let factor = match unit.trim() {
                        "" | "ms" => 1,
                        "s" => 1_000,
                        "min" => 60_000,
                        _ => return None,
                    };
                    digits.parse::<u64>().ok()?.checked_mul(factor)
                };
                let timeout = value
                    .map(|v| parse_ms(v).ok_or_else(|| invalid_value(v)))
                    .transpose()?;
                self.timeout_ms = timeout.filter(|ms| *ms > 0);
                Ok(None)
            }
            _ if IGNORED_SETTINGS.contains(&name.as_str()) => Ok(None),
            _ => match FIXED_SETTINGS.iter().find(|(known, _)| *known == name) {
                Some((_, fixed)) if value.is_none_or(|v| is_same_setting(v, fixed)) => Ok(None),
                Some((_, fixed)) => Err(SqlError::new(
                    code::FEATURE_NOT_SUPPORTED,
                    format!("{shown_name}: only {fixed} is offered here"),
                )),
                None => Err(SqlError::new(
                    code::FEATURE_NOT_SUPPORTED,
                    format!(
                        "SET {shown_name} needs a session of its own with one server, which this listener does not give"
                    ),
                )),
            },
        }
    }
}

/// Returns true if a given value means the fixed value of a setting. Encodings may be written with or without a dash, and
/// in any case.
fn is_same_setting(given: &str, fixed: &str) -> bool {
    let normalize = |text: &str| text.replace(['-', '_', '\''], "").to_ascii_lowercase();
    let (given, fixed) = (normalize(given), normalize(fixed));
    given == fixed
        || (fixed == "utf8" && given == "unicode")
        || (fixed == "on" && ["true", "yes", "1"].contains(&given.as_str()))
}

#[cfg(test)]
mod tests;
