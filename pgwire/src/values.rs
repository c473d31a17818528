//! Values whose text differs between versions and settings: bytea (hex since 9.0, escapes before) and dates.
//!
//! Servers are asked for nothing: connections to them are shared, so their settings are the installation's, which must be
//! `bytea_output = hex` and `DateStyle = ISO`. What is not in the form that those give is passed on as it came. Values
//! within arrays and records are passed on as they are. Source: the PostgreSQL manual, "Date/Time Output", "Binary Data
//! Types".

use serde::{Deserialize, Serialize};

/// The numbers of the types that are written anew.
pub mod kind {
    /// bytea
    pub const BYTEA: u32 = 17;
    /// date
    pub const DATE: u32 = 1082;
    /// timestamp without time zone
    pub const TIMESTAMP: u32 = 1114;
    /// timestamp with time zone
    pub const TIMESTAMPTZ: u32 = 1184;
}

/// How bytea is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bytea {
    /// `\x9f03`
    #[default]
    Hex,
    /// `\237\003`
    Escape,
}

/// The style of dates.
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

/// The style of dates, and whether the day comes before the month.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DateFormat {
    /// The style.
    pub style: DateStyle,
    /// The day comes first.
    pub day_first: bool,
}

impl DateFormat {
    /// Reads what SET DateStyle takes, on top of what holds now; none where it is not understood.
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

    /// As ParameterStatus tells it.
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

/// What one client's values look like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ValueFormats {
    /// bytea.
    pub bytea: Bytea,
    /// DateFormat and times.
    pub dates: DateFormat,
}

impl ValueFormats {
    /// Whether values of a type are written anew.
    pub fn changes(&self, kind: u32) -> bool {
        match kind {
            kind::BYTEA => self.bytea != Bytea::Hex,
            kind::DATE | kind::TIMESTAMP | kind::TIMESTAMPTZ => self.dates.style != DateStyle::Iso,
            _ => false,
        }
    }

    /// Writes a value anew; none where it stays as it is.
    pub fn rewrite(&self, kind: u32, value: &[u8]) -> Option<Vec<u8>> {
        if !self.changes(kind) {
            return None;
        }
        match kind {
            kind::BYTEA => escape(value),
            _ => dated(self.dates, kind, std::str::from_utf8(value).ok()?).map(String::into_bytes),
        }
    }
}

/// From hex to escapes: zero, bytes over 126 and under 32 in octal, the backslash twice.
fn escape(value: &[u8]) -> Option<Vec<u8>> {
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

/// The day of the week, 0 for Sunday, of a day in the Gregorian calendar (Sakamoto's rule).
fn weekday(year: i64, month: usize, day: i64) -> usize {
    const SHIFT: [i64; 12] = [0, 3, 2, 5, 0, 3, 5, 1, 4, 6, 2, 4];
    let year = if month < 3 { year - 1 } else { year };
    (year + year.div_euclid(4) - year.div_euclid(100)
        + year.div_euclid(400)
        + SHIFT[month - 1]
        + day)
        .rem_euclid(7) as usize
}

fn dated(dates: DateFormat, kind: u32, text: &str) -> Option<String> {
    // Before Christ stands at the end whatever the style.
    let (text, era) = text
        .strip_suffix(" BC")
        .map_or((text, ""), |rest| (rest, " BC"));
    let (date, time) = match text.split_once(' ') {
        Some((date, time)) if kind != kind::DATE => (date, Some(time)),
        None if kind == kind::DATE => (text, None),
        // `infinity`, and whatever else stands alone.
        _ => return None,
    };
    let mut parts = date.split('-');
    let (Some(y), Some(m), Some(d), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return None;
    };
    let digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    let fits = y.len() >= 4 && m.len() == 2 && d.len() == 2 && digits(y) && digits(m) && digits(d);
    let (month, day, year) = (
        m.parse::<usize>().ok()?,
        d.parse::<i64>().ok()?,
        y.parse::<i64>().ok()?,
    );
    if !fits || !(1..=12).contains(&month) {
        return None;
    }
    let (first, second) = if dates.day_first { (d, m) } else { (m, d) };
    let short = match dates.style {
        DateStyle::Iso => return None,
        DateStyle::Sql => format!("{first}/{second}/{y}"),
        DateStyle::Postgres => format!("{first}-{second}-{y}"),
        DateStyle::German => format!("{d}.{m}.{y}"),
    };
    let Some(time) = time else {
        return Some(short + era);
    };
    if dates.style != DateStyle::Postgres {
        return Some(format!("{short} {time}{era}"));
    }
    let (clock, zone) = match time.find(['+', '-']) {
        Some(at) => (&time[..at], format!(" {}", &time[at..])),
        None => (time, String::new()),
    };
    // The year 1 BC is the year 0 of the calendar that days are counted by.
    let name = DAYS[weekday(if era.is_empty() { year } else { 1 - year }, month, day)];
    let middle = if dates.day_first {
        format!("{d} {}", MONTHS[month - 1])
    } else {
        format!("{} {d}", MONTHS[month - 1])
    };
    Some(format!("{name} {middle} {clock} {y}{zone}{era}"))
}

#[cfg(test)]
mod tests;
