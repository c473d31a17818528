//! The report on a history: each rule that was violated, with the lines that show it.

use crate::{
    Bounds, Event, Fault, History, LineRef, Time, lease_holders, merged_answers, requests,
    subscriptions,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A line of a history that shows a violation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CitedLine {
    /// Name of the process that wrote the file.
    pub process: String,
    /// Number of the line in the file, from 1.
    pub line: usize,
    /// Time of the event (us).
    #[serde(rename = "at")]
    pub time: Time,
    /// The event as JSON.
    #[serde(rename = "says")]
    pub event: String,
}

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// Name of the rule, as in `docs/history.md`.
    pub rule: &'static str,
    /// Name of the request, lease, session, subscription, gateway or query that violated the rule.
    #[serde(rename = "who")]
    pub subject: String,
    /// Time of the last line that shows the violation (us).
    #[serde(rename = "at")]
    pub time: Time,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// The fewest lines that show the violation, in the order of time.
    #[serde(rename = "part")]
    pub evidence: Vec<CitedLine>,
    /// Number of further violations of the same rule by the same subject.
    #[serde(rename = "more")]
    pub further_violations: usize,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {:.6} s by {}: {}",
            self.rule,
            self.time as f64 / 1e6,
            self.subject,
            self.description
        )?;
        if self.further_violations > 0 {
            write!(formatter, " (and {} more)", self.further_violations)?;
        }
        for cited in &self.evidence {
            // A list of subscriptions can be long, so its text is cut; file and line are named.
            let event: String = cited.event.chars().take(300).collect();
            write!(
                formatter,
                "\n    {}:{} at {:.6} s {event}",
                cited.process,
                cited.line,
                cited.time as f64 / 1e6
            )?;
        }
        Ok(())
    }
}

/// Numbers of checked items, which show whether a history had anything to check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Number of lines.
    pub events: usize,
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Number of statements that ran.
    #[serde(rename = "ran")]
    pub statements: usize,
    /// Number of effects of lease holders that were accepted.
    #[serde(rename = "acted")]
    pub effects: usize,
    /// Number of effects of lease holders that were rejected.
    #[serde(rename = "refused")]
    pub rejected_effects: usize,
    /// Number of subscription lists of gateways that were checked.
    pub lists: usize,
    /// Number of events that listeners were notified of.
    #[serde(rename = "told")]
    pub notifications: usize,
    /// Number of merged answers.
    #[serde(rename = "merged")]
    pub merged_answers: usize,
}

/// The result of all checkers on a history.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The violations, in the order of time.
    pub findings: Vec<Finding>,
    /// Numbers of checked items.
    pub counts: Counts,
    /// Names of the processes whose last line was torn, and paths of the files without a complete line.
    pub torn: Vec<String>,
    /// What could not be checked, and why.
    #[serde(rename = "open")]
    pub unchecked: Vec<String>,
}

/// Collects violations. For each rule and subject it keeps the violation whose lines cover the shortest time, and
/// counts the others.
#[derive(Default)]
pub(crate) struct ReportBuilder {
    /// Violations by rule and subject, with the time that their lines cover.
    found: BTreeMap<(&'static str, String), (Time, Finding)>,
    pub counts: Counts,
    pub unchecked: Vec<String>,
}

impl ReportBuilder {
    /// Adds a violation of a rule by a subject, with the lines that show it.
    pub fn add(
        &mut self,
        rule: &'static str,
        subject: &str,
        description: String,
        lines: &[LineRef<'_>],
    ) {
        let mut lines: Vec<LineRef<'_>> = lines.to_vec();
        lines.sort_by_key(|line_ref| line_ref.line.time);
        let time = lines.last().map_or(0, |line_ref| line_ref.line.time);
        let duration = time - lines.first().map_or(0, |line_ref| line_ref.line.time);
        let key = (rule, subject.to_owned());
        let cite = |line_ref: &LineRef<'_>| CitedLine {
            process: line_ref.file.header.process.clone(),
            line: line_ref.line_number,
            time: line_ref.line.time,
            event: serde_json::to_string(&line_ref.line.event).unwrap_or_default(),
        };
        let further_violations = self
            .found
            .get(&key)
            .map_or(0, |(_, f)| f.further_violations + 1);
        match self.found.get_mut(&key) {
            // The stored violation covers no more time than this one.
            Some((known_duration, finding)) if *known_duration <= duration => {
                finding.further_violations = further_violations
            }
            _ => {
                let evidence = lines.iter().map(cite).collect();
                let finding = Finding {
                    rule,
                    subject: subject.into(),
                    time,
                    description,
                    evidence,
                    further_violations,
                };
                self.found.insert(key, (duration, finding));
            }
        }
    }
}

/// The data of a run that all checkers use.
pub(crate) struct RunContext<'a> {
    pub history: &'a History,
    pub bounds: Bounds,
    pub faults: Vec<&'a Fault>,
}

impl RunContext<'_> {
    /// Returns whether events of this kind of process may be missing, because one left a torn file or some file is
    /// empty.
    pub fn may_miss_events(&self, kind: crate::ProcessKind) -> bool {
        !self.history.empty_files.is_empty()
            || self
                .history
                .files
                .iter()
                .any(|f| f.torn && f.header.kind == kind)
    }
}

/// Runs all checkers on a history.
pub fn check_history(history: &History) -> Report {
    let (mut bounds, mut faults) = (Bounds::default(), Vec::new());
    for line_ref in history.lines().filter(|line_ref| !line_ref.line.claim) {
        match &line_ref.line.event {
            Event::Bounds(recorded) => bounds = *recorded,
            Event::Fault(fault) => faults.push(fault),
            _ => {}
        }
    }
    let run = RunContext {
        history,
        bounds,
        faults,
    };
    let mut report = ReportBuilder::default();
    report.counts.events = history.lines().count();
    requests::check(&run, &mut report);
    lease_holders::check(&run, &mut report);
    subscriptions::check(&run, &mut report);
    merged_answers::check(&run, &mut report);
    let mut findings: Vec<Finding> = report
        .found
        .into_values()
        .map(|(_, finding)| finding)
        .collect();
    findings.sort_by(|a, b| {
        a.time
            .cmp(&b.time)
            .then_with(|| (a.rule, &a.subject).cmp(&(b.rule, &b.subject)))
    });
    let torn = history
        .files
        .iter()
        .filter(|f| f.torn)
        .map(|f| f.header.process.clone());
    let torn = torn
        .chain(history.empty_files.iter().map(|p| p.display().to_string()))
        .collect();
    Report {
        findings,
        counts: report.counts,
        torn,
        unchecked: report.unchecked,
    }
}
