//! Queries over all routers: their topics, the columns and merge rules of the answers, and the messages on the wire.

use crate::answer::Cursor;
use crate::error::Error;
use crate::part::Piece;
use crate::rules::{
    AbsentOrder, Aggregate, Combine, KeepRule, RequiredSources, Rules, SortKey, Unique,
};
use serde::{Deserialize, Serialize};

/// The subject of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The database nodes by the number of failed attempts, summed over routers.
    NodesByFailures,
    /// The leases and the holder of each, according to the highest fencing token.
    #[serde(rename = "owners")]
    LeaseHolders,
    /// The subscribers of this topic.
    Subscribers(String),
    /// The log position of each node of this group, from the latest incarnation and position known.
    Positions(String),
    /// The tenants by number of requests, summed over routers.
    HeaviestTenants,
}

impl Topic {
    /// Returns the columns of the answer and the rules by which partial results are merged.
    pub fn rules(&self) -> Rules {
        let descending = |by: &str| SortKey {
            by: by.into(),
            descending: true,
            absent: AbsentOrder::Last,
        };
        let ascending = |by: &str| SortKey {
            by: by.into(),
            descending: false,
            absent: AbsentOrder::Last,
        };
        let sum = |column: &str| Combine {
            column: column.into(),
            by: Aggregate::Sum,
            non_negative: true,
        };
        let (columns, sort, key, keep, combine): (&[&str], _, &[&str], _, _) = match self {
            Topic::NodesByFailures => {
                let (sort, sums) = (
                    vec![descending("failures"), ascending("node")],
                    vec![sum("failures"), sum("attempts")],
                );
                (
                    &["node", "failures", "attempts"],
                    sort,
                    &["node"],
                    KeepRule::First,
                    sums,
                )
            }
            Topic::LeaseHolders => (
                &["duty", "owner", "zone", "token"],
                vec![ascending("duty")],
                &["duty"],
                KeepRule::Token,
                Vec::new(),
            ),
            Topic::Subscribers(_) => {
                let keep = KeepRule::Freshest {
                    incarnation: "life".into(),
                    position: "counter".into(),
                };
                let sort = vec![ascending("zone"), ascending("subscriber")];
                (
                    &["subscriber", "zone", "life", "counter"],
                    sort,
                    &["subscriber"],
                    keep,
                    Vec::new(),
                )
            }
            Topic::Positions(_) => {
                let keep = KeepRule::Freshest {
                    incarnation: "life".into(),
                    position: "position".into(),
                };
                (
                    &["node", "life", "position", "age_ms"],
                    vec![ascending("node")],
                    &["node"],
                    keep,
                    Vec::new(),
                )
            }
            Topic::HeaviestTenants => {
                let (sort, sums) = (
                    vec![descending("requests"), ascending("tenant")],
                    vec![sum("requests")],
                );
                (
                    &["tenant", "requests"],
                    sort,
                    &["tenant"],
                    KeepRule::First,
                    sums,
                )
            }
        };
        let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        Rules {
            columns: names(columns),
            sort,
            unique: Some(Unique {
                key: names(key),
                keep,
                combine,
            }),
            max_rows: Some(100),
            need: RequiredSources::Any,
            ..Rules::default()
        }
    }
}

/// A query as it is sent, in a part of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the query, chosen by the requester.
    pub id: u64,
    /// Name of the router that sent the query.
    pub requester: String,
    /// Incarnation of the requester. It ignores answers to queries of an earlier incarnation.
    pub incarnation: u64,
    /// Time until the deadline at the moment of sending (ms). A duration is sent because the clocks of two machines are
    /// not comparable.
    pub remaining_ms: u32,
    /// The subject of the query.
    pub topic: Topic,
    /// Maximum number of rows of the answer, if it differs from that of the topic's rules.
    pub max_rows: Option<u64>,
    /// The answer begins after this row.
    pub after: Option<Cursor>,
}

/// Maximum length of a name in a query (bytes), so that a query fits in one part of a datagram.
const MAX_NAME_BYTES: usize = 128;
/// Maximum time until the deadline of a query (ms).
const MAX_WAIT_MS: u32 = 60_000;

impl Query {
    /// Checks the query and returns the merge rules of its answer.
    ///
    /// # Errors
    /// [`Error::Rule`] if a field of the query is out of range.
    pub fn rules(&self) -> Result<Rules, Error> {
        let rule_error = |key: &str, want: String| Error::Rule {
            key: format!("question.{key}"),
            want,
        };
        let name = match &self.topic {
            Topic::Subscribers(name) | Topic::Positions(name) => name,
            _ => &self.requester,
        };
        for (key, text) in [("asker", &self.requester), ("topic", name)] {
            if text.is_empty() || text.len() > MAX_NAME_BYTES {
                return Err(rule_error(
                    key,
                    format!("expected 1 to {MAX_NAME_BYTES} bytes"),
                ));
            }
        }
        if self.remaining_ms > MAX_WAIT_MS {
            return Err(rule_error(
                "left_ms",
                format!(
                    "expected {MAX_WAIT_MS} at the most, got {}",
                    self.remaining_ms
                ),
            ));
        }
        let topic_rules = self.topic.rules();
        let rules = Rules {
            max_rows: self.max_rows.or(topic_rules.max_rows),
            ..topic_rules
        };
        rules.check()?;
        if self
            .after
            .as_ref()
            .is_some_and(|cursor| cursor.values.len() != rules.columns.len())
        {
            return Err(rule_error(
                "after",
                "expected a row of this topic's columns".into(),
            ));
        }
        Ok(rules)
    }

    /// Returns the time until the deadline (ms) after the query has been in transit and in a queue for `elapsed_ms`;
    /// `None` once the deadline is over.
    pub fn remaining_after(&self, elapsed_ms: u64) -> Option<u64> {
        u64::from(self.remaining_ms)
            .checked_sub(elapsed_ms)
            .filter(|remaining| *remaining > 0)
    }
}

/// The content of a datagram part that carries queries and answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A query.
    Query(Query),
    /// A piece of the partial result of one source.
    Answer {
        /// Number of the query.
        id: u64,
        /// The piece.
        piece: Piece,
    },
}

impl Message {
    /// Encodes the message for sending.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a received message.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        postcard::from_bytes(bytes).map_err(|_| Error::Malformed {
            source_name: String::new(),
        })
    }
}
