//! Whether a statement without labels reads or writes, or needs a session of its own.
//!
//! Only words are looked at, as sqlparser's tokenizer tells them from comments, texts and names in quotes. What is not
//! known to read counts as a write: a write at a replica would be turned away, a read at the primary only costs more.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// What a statement needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing: there is none.
    Empty,
    /// Any db node with data that is fresh enough.
    Read,
    /// The primary, once.
    Write,
    /// A setting of the session: what it sets and to what, or what is reset.
    Setting(String, Option<String>),
    /// A session of its own with one server, for this reason.
    NeedsSession(&'static str),
}

/// A statement's words in upper case, `"` for one in quotes, and `(` where one follows.
fn words(tokens: &[Token]) -> Vec<String> {
    let meant = tokens.iter().filter(|t| !matches!(t, Token::Whitespace(_)));
    meant
        .filter_map(|token| match token {
            Token::Word(word) if word.quote_style.is_none() => {
                Some(word.value.to_ascii_uppercase())
            }
            Token::Word(_) => Some("\"".into()),
            Token::LParen => Some("(".into()),
            _ => None,
        })
        .collect()
}

const TRANSACTION: &str = "a transaction";
const CURSOR: &str = "a cursor";
const PREPARED: &str = "a prepared statement";

/// Functions that write, or that live in the session, for all that they are called in a SELECT.
const FUNCTIONS: [(&str, Kind); 12] = [
    ("NEXTVAL", Kind::Write),
    ("SETVAL", Kind::Write),
    ("PG_NOTIFY", Kind::Write),
    ("LO_CREATE", Kind::Write),
    ("LO_UNLINK", Kind::Write),
    ("LO_IMPORT", Kind::Write),
    ("CURRVAL", Kind::NeedsSession("a sequence's last value")),
    ("LASTVAL", Kind::NeedsSession("a sequence's last value")),
    ("SET_CONFIG", Kind::NeedsSession("a setting")),
    ("PG_ADVISORY_LOCK", Kind::NeedsSession("an advisory lock")),
    (
        "PG_TRY_ADVISORY_LOCK",
        Kind::NeedsSession("an advisory lock"),
    ),
    ("PG_ADVISORY_UNLOCK", Kind::NeedsSession("an advisory lock")),
];

/// What may stand before a parenthesis and does not write: words of the language, types, and functions that every server
/// has and that change nothing. Whatever else is called may write, and a write that counts as a read may run twice.
const HARMLESS: &str = " ( ABS ALL AND ANY ARRAY ARRAY_AGG AS AVG BETWEEN BY CASE CAST CEIL CEILING CHAR CHARACTER COALESCE CONCAT \
CONCAT_WS COUNT CUME_DIST CURRENT_DATABASE CURRENT_SCHEMA CURRENT_SETTING DATE DATE_PART DATE_TRUNC DECIMAL DENSE_RANK DISTINCT \
ELSE EXCEPT EXISTS EXTRACT FILTER FIRST_VALUE FLOOR FROM GENERATE_SERIES GREATEST HAVING IN INITCAP INTERSECT INTERVAL JOIN \
JSON_AGG JSONB_AGG LAG LAST_VALUE LATERAL LEAD LEAST LEFT LENGTH LIKE LIMIT LOWER LPAD LTRIM MATERIALIZED MAX MIN MOD NOT NOW \
NTILE NULLIF NUMERIC OFFSET ON OR OVER PARTITION PERCENT_RANK PG_TYPEOF POSITION RANK REPLACE RIGHT ROUND ROW ROW_NUMBER \
RPAD RTRIM SELECT SETS SPLIT_PART STRING_AGG STRPOS SUBSTR SUBSTRING SUM THEN TIME TIMESTAMP TIMESTAMPTZ TO_CHAR TO_DATE \
TO_NUMBER TO_TIMESTAMP TRIM TRUNC UNION UNNEST UPPER USING VALUES VARCHAR VERSION WHEN WHERE WITHIN ";

fn one(tokens: &[Token]) -> Kind {
    let words = words(tokens);
    let has = |wanted: &[&str]| words.iter().any(|word| wanted.contains(&word.as_str()));
    let mut rest = words.iter().map(String::as_str).filter(|word| *word != "(");
    let (first, second) = (
        rest.next().unwrap_or_default(),
        rest.next().unwrap_or_default(),
    );
    let called = words.windows(2).filter(|pair| pair[1] == "(");
    let function = |pair: &[String]| {
        let known = FUNCTIONS
            .iter()
            .find(|(name, _)| *name == pair[0])
            .map(|(_, kind)| kind.clone());
        known.unwrap_or(match HARMLESS.contains(&format!(" {} ", pair[0])) {
            true => Kind::Read,
            false => Kind::Write,
        })
    };
    match first {
        "" if words.is_empty() && tokens.iter().all(|t| matches!(t, Token::Whitespace(_))) => {
            Kind::Empty
        }
        "SET"
            if second == "TRANSACTION"
                || second == "SESSION"
                || second == "LOCAL"
                || second == "CONSTRAINTS" =>
        {
            Kind::NeedsSession("a setting of a transaction")
        }
        "SET" | "RESET" => setting(tokens),
        "DISCARD" => Kind::Setting("ALL".into(), None),
        "BEGIN" | "START" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SAVEPOINT" | "RELEASE" => {
            Kind::NeedsSession(TRANSACTION)
        }
        "PREPARE" | "EXECUTE" | "DEALLOCATE" => Kind::NeedsSession(PREPARED),
        "DECLARE" | "FETCH" | "MOVE" | "CLOSE" => Kind::NeedsSession(CURSOR),
        "LISTEN" | "UNLISTEN" => Kind::NeedsSession("notifications"),
        "LOCK" => Kind::NeedsSession("a lock on a table"),
        "CREATE" if ["TEMP", "TEMPORARY", "LOCAL", "GLOBAL"].contains(&second) => {
            Kind::NeedsSession("a temporary table")
        }
        "SELECT" if has(&["TEMP", "TEMPORARY"]) && has(&["INTO"]) => {
            Kind::NeedsSession("a temporary table")
        }
        "SELECT" | "WITH" | "VALUES" | "TABLE" | "SHOW" | "EXPLAIN" => {
            let writes = has(&[
                "INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "ANALYZE", "ANALYSE",
            ]) || (has(&["FOR"]) && has(&["SHARE", "NO", "KEY"]));
            let start = if writes { Kind::Write } else { Kind::Read };
            called.map(function).fold(start, both)
        }
        _ => Kind::Write,
    }
}

/// What two statements need together.
fn both(a: Kind, b: Kind) -> Kind {
    match (a, b) {
        (Kind::Empty, other) | (other, Kind::Empty) => other,
        (session @ Kind::NeedsSession(_), _) | (_, session @ Kind::NeedsSession(_)) => session,
        (Kind::Setting(..), _) | (_, Kind::Setting(..)) => {
            Kind::NeedsSession("a setting amid other statements")
        }
        (Kind::Read, Kind::Read) => Kind::Read,
        _ => Kind::Write,
    }
}

/// `SET name = value`, `SET name TO value`, `SET TIME ZONE value`, `SET NAMES value`, `RESET name`.
fn setting(tokens: &[Token]) -> Kind {
    let mut parts = tokens
        .iter()
        .filter(|t| !matches!(t, Token::Whitespace(_)))
        .map(|token| match token {
            Token::Word(word) => word.value.clone(),
            Token::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        });
    let command = parts.next().unwrap_or_default().to_ascii_uppercase();
    let name = parts.next().unwrap_or_default();
    if command == "RESET" {
        return Kind::Setting(name, None);
    }
    let mut rest: Vec<String> = parts.collect();
    let name = match (
        name.to_ascii_uppercase().as_str(),
        rest.first().map(|r| r.to_ascii_uppercase()).as_deref(),
    ) {
        ("TIME", Some("ZONE")) => {
            rest.remove(0);
            "TimeZone".into()
        }
        ("NAMES", _) => "client_encoding".into(),
        _ => {
            if rest
                .first()
                .is_some_and(|word| word == "=" || word.eq_ignore_ascii_case("to"))
            {
                rest.remove(0);
            }
            name
        }
    };
    Kind::Setting(name, Some(rest.join(" ").replace(" ,", ",")))
}

/// What a query text needs. One that cannot be taken apart counts as a write: the primary will say what is wrong with it.
pub fn classify(text: &str) -> Kind {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        return Kind::Write;
    };
    tokens
        .split(|token| *token == Token::SemiColon)
        .map(one)
        .fold(Kind::Empty, both)
}

#[cfg(test)]
mod tests;
