//! Classifies statements without labels: whether they read, write, or need an exclusive session with one server.
//!
//! The classification looks at words only; sqlparser's tokenizer separates them from comments, literals and quoted names.
//! A statement that is not known to be a read counts as a write: a replica would reject a write, while a read at the
//! primary merely costs more.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// What a statement does or needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The text contains no statement.
    Empty,
    /// The statement only reads; any db node that is fresh enough can run it.
    Read,
    /// The statement may write; it has to run at the primary, and only once.
    Write,
    /// The statement changes a setting of the session: name and new value, or `None` to reset it.
    Setting(String, Option<String>),
    /// The statement needs an exclusive session with one server, for this feature.
    NeedsSession(&'static str),
    /// The statement has too many words to be classified.
    TooManyWords,
}

/// Maximum number of words and signs of a statement that is classified. Each needs about a hundred bytes for that time. A text
/// literal of 64 KiB is below it, whatever it holds.
const MAX_TOKENS: usize = 100_000;

/// Returns whether a text may have more tokens than are classified. Literals count as if their words stood in the statement, since
/// only the tokenizer knows where a literal ends.
fn may_exceed_max_tokens(text: &str) -> bool {
    let is_word = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || !byte.is_ascii();
    let mut tokens = 0;
    let mut was_word = false;
    for byte in text.bytes() {
        let continues_word = was_word && is_word(byte);
        tokens += usize::from(!continues_word);
        was_word = is_word(byte);
    }
    tokens > MAX_TOKENS
}

/// Returns the words of a statement in upper case, with `"` in place of a quoted name, and `(` for each opening parenthesis.
fn extract_words(tokens: &[Token]) -> Vec<String> {
    let significant = tokens.iter().filter(|t| !matches!(t, Token::Whitespace(_)));
    significant
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

/// Features for which a statement needs an exclusive session, as error messages name them.
const TRANSACTION: &str = "a transaction";
const CURSOR: &str = "a cursor";
const PREPARED: &str = "a prepared statement";

/// Functions that write or depend on the session, although a SELECT may call them.
const SIDE_EFFECT_FUNCTIONS: [(&str, Kind); 12] = [
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

/// Words that may precede a parenthesis and do not write: keywords, types, and built-in functions without side effects. Any
/// other function may write; if it counted as a read, a retry could run the write twice.
const READ_ONLY_NAMES: &str = " ( ABS ALL AND ANY ARRAY ARRAY_AGG AS AVG BETWEEN BY CASE CAST CEIL CEILING CHAR CHARACTER COALESCE CONCAT \
CONCAT_WS COUNT CUME_DIST CURRENT_DATABASE CURRENT_SCHEMA CURRENT_SETTING DATE DATE_PART DATE_TRUNC DECIMAL DENSE_RANK DISTINCT \
ELSE EXCEPT EXISTS EXTRACT FILTER FIRST_VALUE FLOOR FROM GENERATE_SERIES GREATEST HAVING IN INITCAP INTERSECT INTERVAL JOIN \
JSON_AGG JSONB_AGG LAG LAST_VALUE LATERAL LEAD LEAST LEFT LENGTH LIKE LIMIT LOWER LPAD LTRIM MATERIALIZED MAX MIN MOD NOT NOW \
NTILE NULLIF NUMERIC OFFSET ON OR OVER PARTITION PERCENT_RANK PG_TYPEOF POSITION RANK REPLACE RIGHT ROUND ROW ROW_NUMBER \
RPAD RTRIM SELECT SETS SPLIT_PART STRING_AGG STRPOS SUBSTR SUBSTRING SUM THEN TIME TIMESTAMP TIMESTAMPTZ TO_CHAR TO_DATE \
TO_NUMBER TO_TIMESTAMP TRIM TRUNC UNION UNNEST UPPER USING VALUES VARCHAR VERSION WHEN WHERE WITHIN ";

/// Classifies a single statement.
fn classify_statement(tokens: &[Token]) -> Kind {
    let words = extract_words(tokens);
    let has = |wanted: &[&str]| words.iter().any(|word| wanted.contains(&word.as_str()));
    let mut rest = words.iter().map(String::as_str).filter(|word| *word != "(");
    let (first, second) = (
        rest.next().unwrap_or_default(),
        rest.next().unwrap_or_default(),
    );
    let calls = words.windows(2).filter(|pair| pair[1] == "(");
    let classify_call = |pair: &[String]| {
        let known = SIDE_EFFECT_FUNCTIONS
            .iter()
            .find(|(name, _)| *name == pair[0])
            .map(|(_, kind)| kind.clone());
        known.unwrap_or(match READ_ONLY_NAMES.contains(&format!(" {} ", pair[0])) {
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
        "SET" | "RESET" => parse_setting(tokens),
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
            let own_kind = if writes { Kind::Write } else { Kind::Read };
            calls.map(classify_call).fold(own_kind, combine)
        }
        _ => Kind::Write,
    }
}

/// Returns the kind of two statements, or of a statement and a function that it calls, taken together.
fn combine(first: Kind, second: Kind) -> Kind {
    match (first, second) {
        (Kind::Empty, other) | (other, Kind::Empty) => other,
        (session @ Kind::NeedsSession(_), _) | (_, session @ Kind::NeedsSession(_)) => session,
        (Kind::Setting(..), _) | (_, Kind::Setting(..)) => {
            Kind::NeedsSession("a setting amid other statements")
        }
        (Kind::Read, Kind::Read) => Kind::Read,
        _ => Kind::Write,
    }
}

/// Parses `SET name = value`, `SET name TO value`, `SET TIME ZONE value`, `SET NAMES value` and `RESET name`.
fn parse_setting(tokens: &[Token]) -> Kind {
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

/// Classifies a query, which may consist of several statements. A query that cannot be tokenized counts as a write, so that
/// the primary reports the error.
pub fn classify(text: &str) -> Kind {
    if may_exceed_max_tokens(text) {
        return Kind::TooManyWords;
    }
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        return Kind::Write;
    };
    tokens
        .split(|token| *token == Token::SemiColon)
        .map(classify_statement)
        .fold(Kind::Empty, combine)
}

#[cfg(test)]
mod tests;
