//! The fleet question: what any router can be asked, with the columns and rules of its answer.

use crate::answer::Cursor;
use crate::error::Error;
use crate::part::Piece;
use crate::rules::{Absent, By, Combine, Keep, Need, Rules, Sort, Unique};
use serde::{Deserialize, Serialize};

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The db nodes by how often attempts at them failed, summed over routers.
    NodesByFailures,
    /// The duties and who owns each, by the highest token.
    Owners,
    /// Who subscribes to this topic.
    Subscribers(String),
    /// How far each node of this group is, by its latest life and position.
    Positions(String),
    /// The tenants by requests, summed over routers.
    HeaviestTenants,
}

impl Topic {
    /// The columns of its answer and the rules by which parts of it are merged.
    pub fn rules(&self) -> Rules {
        let down = |by: &str| Sort {
            by: by.into(),
            down: true,
            absent: Absent::Last,
        };
        let up = |by: &str| Sort {
            by: by.into(),
            down: false,
            absent: Absent::Last,
        };
        let sum = |column: &str| Combine {
            column: column.into(),
            by: By::Sum,
            floor: true,
        };
        let (columns, sort, key, keep, combine): (&[&str], _, &[&str], _, _) = match self {
            Topic::NodesByFailures => {
                let (sort, sums) = (
                    vec![down("failures"), up("node")],
                    vec![sum("failures"), sum("attempts")],
                );
                (
                    &["node", "failures", "attempts"],
                    sort,
                    &["node"],
                    Keep::First,
                    sums,
                )
            }
            Topic::Owners => (
                &["duty", "owner", "zone", "token"],
                vec![up("duty")],
                &["duty"],
                Keep::Token,
                Vec::new(),
            ),
            Topic::Subscribers(_) => {
                let keep = Keep::Freshest {
                    life: "life".into(),
                    position: "counter".into(),
                };
                let sort = vec![up("zone"), up("subscriber")];
                (
                    &["subscriber", "zone", "life", "counter"],
                    sort,
                    &["subscriber"],
                    keep,
                    Vec::new(),
                )
            }
            Topic::Positions(_) => {
                let keep = Keep::Freshest {
                    life: "life".into(),
                    position: "position".into(),
                };
                (
                    &["node", "life", "position", "age_ms"],
                    vec![up("node")],
                    &["node"],
                    keep,
                    Vec::new(),
                )
            }
            Topic::HeaviestTenants => {
                let (sort, sums) = (vec![down("requests"), up("tenant")], vec![sum("requests")]);
                (
                    &["tenant", "requests"],
                    sort,
                    &["tenant"],
                    Keep::First,
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
            rows: Some(100),
            need: Need::Any,
            ..Rules::default()
        }
    }
}

/// A question as it is sent, in a part for questions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Its number, the asker's own.
    pub id: u64,
    /// The asker's name.
    pub asker: String,
    /// Its life: answers to an older one are none of this one's.
    pub life: u64,
    /// What is left until its deadline when it is sent (ms). No clock of two machines is compared.
    pub left_ms: u32,
    /// What it asks.
    pub topic: Topic,
    /// Rows of the answer at the most, if other than the topic's rules say.
    pub rows: Option<u64>,
    /// The page after this row.
    pub after: Option<Cursor>,
}

/// Names in a question at the most (bytes): it fits in one part.
const LONGEST: usize = 128;
/// The longest time that a question may leave (ms).
const LONGEST_WAIT: u32 = 60_000;

impl Question {
    /// The rules of its answer.
    ///
    /// # Errors
    /// [`Error::Rule`]: what it asks cannot be answered.
    pub fn rules(&self) -> Result<Rules, Error> {
        let bad = |key: &str, want: String| Error::Rule {
            key: format!("question.{key}"),
            want,
        };
        let name = match &self.topic {
            Topic::Subscribers(name) | Topic::Positions(name) => name,
            _ => &self.asker,
        };
        for (key, text) in [("asker", &self.asker), ("topic", name)] {
            if text.is_empty() || text.len() > LONGEST {
                return Err(bad(key, format!("expected 1 to {LONGEST} bytes")));
            }
        }
        if self.left_ms > LONGEST_WAIT {
            return Err(bad(
                "left_ms",
                format!("expected {LONGEST_WAIT} at the most, got {}", self.left_ms),
            ));
        }
        let own = self.topic.rules();
        let rules = Rules {
            rows: self.rows.or(own.rows),
            ..own
        };
        rules.check()?;
        if self
            .after
            .as_ref()
            .is_some_and(|c| c.values.len() != rules.columns.len())
        {
            return Err(bad(
                "after",
                "expected a row of this topic's columns".into(),
            ));
        }
        Ok(rules)
    }

    /// What is left when it has been under way and waiting for so long (ms); none when nobody waits any more.
    pub fn left_after(&self, ms: u64) -> Option<u64> {
        u64::from(self.left_ms)
            .checked_sub(ms)
            .filter(|left| *left > 0)
    }
}

/// What a part for questions is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Somebody asks.
    Ask(Question),
    /// A piece of what one source answers.
    Answer {
        /// The question's number.
        id: u64,
        /// The piece.
        piece: Piece,
    },
}

impl Message {
    /// As it is sent.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// As it came.
    ///
    /// # Errors
    /// [`Error::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        postcard::from_bytes(bytes).map_err(|_| Error::Malformed {
            source_name: String::new(),
        })
    }
}
