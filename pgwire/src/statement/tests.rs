//! Unit tests of `statement`.

use super::*;

#[test]
fn writes_are_never_classified_as_reads() {
    // A write that counts as a read is sent to a replica, which at best rejects it, and may be retried after it has run.
    for text in [
        "INSERT INTO seats VALUES (1)",
        "insert into seats values (1) returning id",
        "/* SELECT */ UPDATE seats SET taken = true",
        "-- SELECT 1\nDELETE FROM seats",
        "WITH gone AS (DELETE FROM seats RETURNING *) SELECT * FROM gone",
        "SELECT * FROM seats WHERE id = 3 FOR UPDATE",
        "SELECT * FROM seats FOR NO KEY UPDATE",
        "select * from seats for share",
        "SELECT nextval('tickets')",
        "SELECT * INTO copy FROM seats",
        "SELECT 1; INSERT INTO seats VALUES (1)",
        "EXPLAIN ANALYZE DELETE FROM seats",
        "CALL book(1)",
        "SELECT book_seat(17)",
        "SELECT \"book\"(17)",
        "SELECT count(*) FROM book_all('7f')",
        "WITH made AS (SELECT book_seat(17)) SELECT * FROM made",
        "DO $$ BEGIN PERFORM 1; END $$",
        "NOTIFY seats",
        "COPY seats TO STDOUT",
        "(((nonsense",
        "'never ends",
        "$$ never ends",
    ] {
        assert_eq!(classify(text), Kind::Write, "{text}");
    }
}

#[test]
fn reads_are_recognized_whatever_their_literals_and_comments_contain() {
    for text in [
        "SELECT 1",
        "  /* INSERT */ select 'DELETE FROM seats; UPDATE', \"update\" FROM seats -- DELETE",
        "(SELECT 1) UNION (SELECT 2)",
        "WITH near AS (SELECT * FROM stops) SELECT * FROM near",
        "VALUES (1), (2)",
        "SHOW server_version",
        "SELECT $$ INSERT INTO seats $$",
        "SELECT 1; SELECT 2;",
        "EXPLAIN SELECT 1",
        "TABLE seats",
        "SELECT count(*), max(day) FROM trips WHERE id IN (1, 2) AND (day > now() OR coalesce(a, 'x(') = lower(b))",
        "SELECT rank() OVER (PARTITION BY a) FROM trips t JOIN seats s USING (id) WHERE EXISTS (SELECT 1)",
    ] {
        assert_eq!(classify(text), Kind::Read, "{text}");
    }
    for text in ["", "  ", ";", "-- nothing", "/* nothing */ ;;"] {
        assert_eq!(classify(text), Kind::Empty, "{text:?}");
    }
}

#[test]
fn statements_that_need_an_exclusive_session_name_the_feature() {
    for (text, feature) in [
        ("BEGIN", TRANSACTION),
        ("begin; select 1; commit", TRANSACTION),
        ("PREPARE x AS SELECT 1", PREPARED),
        ("DECLARE c CURSOR FOR SELECT 1", CURSOR),
        ("LISTEN seats", "notifications"),
        ("CREATE TEMP TABLE t (a int)", "a temporary table"),
        ("SELECT 1 AS a INTO TEMP t", "a temporary table"),
        ("SELECT currval('tickets')", "a sequence's last value"),
        ("SELECT pg_advisory_lock(1)", "an advisory lock"),
        ("SET LOCAL work_mem = 1", "a setting of a transaction"),
        ("SET a = 1; SELECT 1", "a setting amid other statements"),
    ] {
        assert_eq!(classify(text), Kind::NeedsSession(feature), "{text}");
    }
}

#[test]
fn settings_are_parsed_in_every_syntax() {
    for (text, name, value) in [
        ("SET DateStyle TO 'German'", "DateStyle", Some("German")),
        ("set datestyle = iso, mdy", "datestyle", Some("iso, mdy")),
        ("SET bytea_output=escape;", "bytea_output", Some("escape")),
        (
            "SET TIME ZONE 'Asia/Ho_Chi_Minh'",
            "TimeZone",
            Some("Asia/Ho_Chi_Minh"),
        ),
        ("SET NAMES 'UTF8'", "client_encoding", Some("UTF8")),
        ("RESET DateStyle", "DateStyle", None),
        ("RESET ALL", "ALL", None),
        ("DISCARD ALL", "ALL", None),
    ] {
        assert_eq!(
            classify(text),
            Kind::Setting(name.into(), value.map(Into::into)),
            "{text}"
        );
    }
}

/// Guards against a router that is killed for its memory, since each word needs many times its length while it is classified.
#[test]
fn a_statement_with_very_many_words_is_not_classified() {
    for words in ["a ", " ", ",", "';--"] {
        assert_eq!(classify(&words.repeat(2_000_000)), Kind::TooManyWords);
    }
    let literal = "x ".repeat(32 * 1024);
    assert_eq!(classify(&format!("SELECT '{literal}'")), Kind::Read);
    let digits = "9f".repeat(2_000_000);
    assert_eq!(classify(&format!("SELECT '\\x{digits}'")), Kind::Read);
}
