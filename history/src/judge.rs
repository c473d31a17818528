//! The verdict on a history: each rule that was broken, with the few lines that show it.

use crate::{Bounds, Event, Fault, History, Seen, Time, gathered, lists, owners, requests};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A line that shows what is wrong.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cited {
    /// Whose file.
    pub process: String,
    /// The line in it, from 1.
    pub line: usize,
    /// When (us).
    pub at: Time,
    /// What it says.
    pub says: String,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule, as `docs/history.md` names it.
    pub rule: &'static str,
    /// Who broke it: a request, a duty, a subscriber, a question.
    pub who: String,
    /// When it was complete (us).
    pub at: Time,
    /// What is wrong, in words.
    pub what: String,
    /// The fewest lines that show it, in the order of time.
    pub part: Vec<Cited>,
    /// How many further times the same rule was broken by the same.
    pub more: usize,
}

impl fmt::Display for Finding {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            to,
            "{} at {:.6} s by {}: {}",
            self.rule,
            self.at as f64 / 1e6,
            self.who,
            self.what
        )?;
        if self.more > 0 {
            write!(to, " (and {} more)", self.more)?;
        }
        for c in &self.part {
            // A list can be long: its line is named.
            let says: String = c.says.chars().take(300).collect();
            write!(
                to,
                "\n    {}:{} at {:.6} s {says}",
                c.process,
                c.line,
                c.at as f64 / 1e6
            )?;
        }
        Ok(())
    }
}

/// What there was to judge: a verdict on nothing is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Lines.
    pub events: usize,
    /// Requests.
    pub asked: usize,
    /// Statements that ran.
    pub ran: usize,
    /// Effects of owners.
    pub acted: usize,
    /// Effects that were refused.
    pub refused: usize,
    /// Lists of gateways that were held against the truth.
    pub lists: usize,
    /// News that were told.
    pub told: usize,
    /// Merged answers.
    pub merged: usize,
}

/// The verdict.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Judged {
    /// What was broken, in the order of time.
    pub findings: Vec<Finding>,
    /// How much there was.
    pub counts: Counts,
    /// Processes whose last line was torn, or whose file is empty.
    pub torn: Vec<String>,
    /// What could not be judged, and why.
    pub open: Vec<String>,
}

/// Collects findings: of each rule and offender the shortest part, and the number of the others.
#[derive(Default)]
pub(crate) struct Docket {
    found: BTreeMap<(&'static str, String), (Time, Finding)>,
    pub counts: Counts,
    pub open: Vec<String>,
}

impl Docket {
    pub fn add(&mut self, rule: &'static str, who: &str, what: String, part: &[Seen<'_>]) {
        let mut part: Vec<Seen<'_>> = part.to_vec();
        part.sort_by_key(|s| s.line.at);
        let at = part.last().map_or(0, |s| s.line.at);
        let span = at - part.first().map_or(0, |s| s.line.at);
        let key = (rule, who.to_owned());
        let cite = |s: &Seen<'_>| Cited {
            process: s.file.head.process.clone(),
            line: s.number,
            at: s.line.at,
            says: serde_json::to_string(&s.line.what).unwrap_or_default(),
        };
        let more = self.found.get(&key).map_or(0, |(_, f)| f.more + 1);
        match self.found.get_mut(&key) {
            // The one that is known is as short.
            Some((known, finding)) if *known <= span => finding.more = more,
            _ => {
                let part = part.iter().map(cite).collect();
                let finding = Finding {
                    rule,
                    who: who.into(),
                    at,
                    what,
                    part,
                    more,
                };
                self.found.insert(key, (span, finding));
            }
        }
    }
}

/// What all checkers need to know of a trial.
pub(crate) struct Trial<'a> {
    pub history: &'a History,
    pub bounds: Bounds,
    pub faults: Vec<&'a Fault>,
}

impl Trial<'_> {
    /// Whether a process of this kind left a torn or an empty file: something that happened may be missing.
    pub fn torn(&self, kind: crate::Kind) -> bool {
        !self.history.empty.is_empty()
            || self
                .history
                .files
                .iter()
                .any(|f| f.torn && f.head.kind == kind)
    }
}

/// Judges a history.
pub fn judge(history: &History) -> Judged {
    let (mut bounds, mut faults) = (Bounds::default(), Vec::new());
    for seen in history.seen().filter(|s| !s.line.claim) {
        match &seen.line.what {
            Event::Bounds(told) => bounds = *told,
            Event::Fault(fault) => faults.push(fault),
            _ => {}
        }
    }
    let trial = Trial {
        history,
        bounds,
        faults,
    };
    let mut docket = Docket::default();
    docket.counts.events = history.seen().count();
    requests::check(&trial, &mut docket);
    owners::check(&trial, &mut docket);
    lists::check(&trial, &mut docket);
    gathered::check(&trial, &mut docket);
    let mut findings: Vec<Finding> = docket
        .found
        .into_values()
        .map(|(_, finding)| finding)
        .collect();
    findings.sort_by(|a, b| {
        a.at.cmp(&b.at)
            .then_with(|| (a.rule, &a.who).cmp(&(b.rule, &b.who)))
    });
    let torn = history
        .files
        .iter()
        .filter(|f| f.torn)
        .map(|f| f.head.process.clone());
    let torn = torn
        .chain(history.empty.iter().map(|p| p.display().to_string()))
        .collect();
    Judged {
        findings,
        counts: docket.counts,
        torn,
        open: docket.open,
    }
}
