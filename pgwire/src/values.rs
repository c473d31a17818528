//! Values whose text format depends on version and settings: bytea (hex since 9.0, escape format before) and dates.
//!
//! The router does not change settings of servers, because connections to them are shared. Servers must be configured with
//! `bytea_output = hex` and `DateStyle = ISO`. Values in any other format are passed on unchanged, and so are values within
//! arrays and records. Source: the PostgreSQL manual, "Date/Time Output", "Binary Data Types".

use serde::{Deserialize, Serialize};

/// Object ids of the types whose values are reformatted.
pub mod type_oid {
    /// bytea
    pub const BYTEA: u32 = 17;
    /// date
    pub const DATE: u32 = 1082;
    /// timestamp without time zone
    pub const TIMESTAMP: u32 = 1114;
    /// timestamp with time zone
    pub const TIMESTAMPTZ: u32 = 1184;
}

/// The text format of bytea values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bytea {
    /// `\x9f03`
    #[default]
    Hex,
    /// `\237\003`
    Escape,
}

/// The output style of dates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DateStyle {
    /// 2026-12-01 17:20:00+07
    #[default]
    Iso,
    /// 12/01/2026 17:20:00+07
    Sql,
    /// Tue Dec 01 17:20:00 2026 +07
    Postgres,
    /// 01.12.2026 17:20:00+07
    German,
}

/// The setting DateStyle: the style of dates, and whether the day precedes the month.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DateFormat {
    /// The style.
    pub style: DateStyle,
    /// Whether the day precedes the month.
    pub day_first: bool,
}

impl DateFormat {
    /// Returns the format after `SET DateStyle` with this value, or `None` if the value is invalid. What the value does not
    /// mention stays unchanged.
    pub fn with_setting(mut self, text: &str) -> Option<Self> {
        for word in text.split([',', ' ']).filter(|word| !word.is_empty()) {
            match word.to_ascii_lowercase().as_str() {
                "iso" => self.style = DateStyle::Iso,
                "sql" => self.style = DateStyle::Sql,
                "postgres" | "postgresql" => self.style = DateStyle::Postgres,
                "german" => (self.style, self.day_first) = (DateStyle::German, true),
                "mdy" | "us" | "noneuro" | "noneuropean" => self.day_first = false,
                "dmy" | "euro" | "european" => self.day_first = true,
                _ => return None,
            }
        }
        Some(self)
    }

    /// Returns the value of DateStyle as ParameterStatus reports it.
    pub fn setting_value(self) -> String {
        let style = match self.style {
            DateStyle::Iso => "ISO",
            DateStyle::Sql => "SQL",
            DateStyle::Postgres => "Postgres",
            DateStyle::German => "German",
        };
        format!("{style}, {}", if self.day_first { "DMY" } else { "MDY" })
    }
}

/// The text formats of the values that a client receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ValueFormats {
    /// The format of bytea.
    pub bytea: Bytea,
    /// The format of dates and timestamps.
    pub dates: DateFormat,
}

impl ValueFormats {
    /// Returns true if values of a type are reformatted.
    pub fn changes(&self, type_oid: u32) -> bool {
        match type_oid {
            type_oid::BYTEA => self.bytea != Bytea::Hex,
            type_oid::DATE | type_oid::TIMESTAMP | type_oid::TIMESTAMPTZ => {
                self.dates.style != DateStyle::Iso
            }
            _ => false,
        }
    }

    /// Reformats a value. Returns `None` if the value stays unchanged.
    pub fn rewrite(&self, type_oid: u32, value: &[u8]) -> Option<Vec<u8>> {
        if !self.changes(type_oid) {
            return None;
        }
        match type_oid {
            type_oid::BYTEA => hex_to_escape(value),
            _ => format_date_value(self.dates, type_oid, std::str::from_utf8(value).ok()?)
                .map(String::into_bytes),
        }
    }
}

/// Converts bytea from hex to escape format: bytes below 32 and above 126 in octal, and the backslash doubled.
fn hex_to_escape(value: &[u8]) -> Option<Vec<u8>> {
    let digits = value
        .strip_prefix(b"\\x")
        .filter(|digits| digits.len() % 2 == 0)?;
    let digit = |byte: u8| match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    };
    let mut out = Vec::with_capacity(digits.len() * 2);
    for pair in digits.chunks_exact(2) {
        let byte = digit(pair[0])? << 4 | digit(pair[1])?;
        match byte {
            b'\\' => out.extend_from_slice(b"\\\\"),
            0x20..=0x7e => out.push(byte),
            _ => out.extend_from_slice(&[
                b'\\',
                b'0' + (byte >> 6),
                b'0' + (byte >> 3 & 7),
                b'0' + (byte & 7),
            ]),
        }
    }
    Some(out)
}

const DAYS: [&str; 7] = ["Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"];
const MONTHS: [&str; 12] = [
    "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec",
];

/// Returns the day of the week, 0 for Sunday, of a date in the Gregorian calendar (Sakamoto's algorithm).
fn weekday(year: i64, month: usize, day: i64) -> usize {
    const SHIFT: [i64; 12] = [0, 3, 2, 5, 0, 3, 5, 1, 4, 6, 2, 4];
    let year = if month < 3 { year - 1 } else { year };
    (year + year.div_euclid(4) - year.div_euclid(100)
        + year.div_euclid(400)
        + SHIFT[month - 1]
        + day)
        .rem_euclid(7) as usize
}

/// Converts a date or timestamp from ISO format, or returns `None` if it is in another format.
fn format_date_value(dates: DateFormat, type_oid: u32, text: &str) -> Option<String> {
    // The suffix ` BC` stands at the end in every style.
    let (text, era) = text
        .strip_suffix(" BC")
        .map_or((text, ""), |rest| (rest, " BC"));
    let (date, time) = match text.split_once(' ') {
        Some((date, time)) if type_oid != type_oid::DATE => (date, Some(time)),
        None if type_oid == type_oid::DATE => (text, None),
        // `infinity`, or another value that is not a date and a time.
        _ => return None,
    };
    let mut parts = date.split('-');
    let (Some(year_text), Some(month_text), Some(day_text), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return None;
    };
    let is_numeric = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    let is_iso_date = year_text.len() >= 4
        && month_text.len() == 2
        && day_text.len() == 2
        && is_numeric(year_text)
        && is_numeric(month_text)
        && is_numeric(day_text);
    let (month, day, year) = (
        month_text.parse::<usize>().ok()?,
        day_text.parse::<i64>().ok()?,
        year_text.parse::<i64>().ok()?,
    );
    if !is_iso_date || !(1..=12).contains(&month) {
        return None;
    }
    let (first_part, second_part) = if dates.day_first {
        (day_text, month_text)
    } else {
        (month_text, day_text)
    };
    let formatted_date = match dates.style {
        DateStyle::Iso => return None,
        DateStyle::Sql => format!("{first_part}/{second_part}/{year_text}"),
        DateStyle::Postgres => format!("{first_part}-{second_part}-{year_text}"),
        DateStyle::German => format!("{day_text}.{month_text}.{year_text}"),
    };
    let Some(time) = time else {
        return Some(formatted_date + era);
    };
    if dates.style != DateStyle::Postgres {
        return Some(format!("{formatted_date} {time}{era}"));
    }
    let (time_of_day, zone) = match time.find(['+', '-']) {
        Some(zone_start) => (&time[..zone_start], format!(" {}", &time[zone_start..])),
        None => (time, String::new()),
    };
    // 1 BC is the year 0 of the proleptic Gregorian calendar, by which weekdays are computed.
    let weekday_name = DAYS[weekday(if era.is_empty() { year } else { 1 - year }, month, day)];
    let month_and_day = if dates.day_first {
        format!("{day_text} {}", MONTHS[month - 1])
    } else {
        format!("{} {day_text}", MONTHS[month - 1])
    };
    Some(format!(
        "{weekday_name} {month_and_day} {time_of_day} {year_text}{zone}{era}"
    ))
}

#[cfg(test)]
mod tests;
