//! What was broken, when, by which process: found in the processes' logs and the stand-ins' counts alone.

use super::play::{Asked, End, Life, Record, rules};
use super::{Trial, What};
use plovercove_emulator::RequestOutcome;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a line of a log may be late for what it tells of, and a step of the schedule for its time (s).
const SLACK: f64 = 1.0;
/// Until the evidence against a node is complete: two routers, of two zones where there are two, must have met it twice each (s).
const MEETS: f64 = 3.0;
/// How often a router meets a node before it can tell of it.
const MEETINGS: usize = 2;
/// A router that is back, or was let go, has this long before what it does counts (s).
const RECOVERS: f64 = 2.0;

/// One thing that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// The check.
    pub check: &'static str,
    /// When (s).
    pub at: f64,
    /// Which process or node.
    pub who: String,
    /// What.
    pub what: String,
}

/// Figures of a trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: usize,
    /// Those that were served.
    pub served: usize,
    /// Seconds until all had found each other.
    pub joined: f64,
    /// Seconds after the last fault until all agreed.
    pub agreed: f64,
    /// Datagrams a second of each router: mean, and the most in any second.
    pub datagrams: (f64, u64),
    /// Bytes a second: mean, and the most in any second.
    pub bytes: (f64, u64),
    /// CPU of each process, as a share of one core: mean and most.
    pub cpu: (f64, f64),
    /// Times that a router took a node out.
    pub outs: usize,
}

struct Checker<'a> {
    trial: &'a Trial,
    record: &'a Record,
    broken: Vec<Broken>,
}

fn word<'a>(said: &'a serde_json::Value, key: &str) -> &'a str {
    said[key].as_str().unwrap_or_default()
}

fn name(life: &Life) -> String {
    format!("n{}{}", life.router, if life.twin { "-twin" } else { "" })
}

/// The number of a node by its name, and whether it has that of a later one at its address.
fn node(name: &str) -> Option<(usize, bool)> {
    let digits = name.strip_prefix('s')?;
    let (number, rest) = digits.split_at(digits.find('-').unwrap_or(digits.len()));
    Some((number.parse().ok()?, !rest.is_empty()))
}

/// Checks a trial. What is broken comes in the order of time.
pub fn check(trial: &Trial, record: &Record) -> (Vec<Broken>, Figures) {
    let mut checker = Checker {
        trial,
        record,
        broken: Vec::new(),
    };
    checker.answers();
    checker.writes();
    checker.drains();
    checker.exits();
    if trial.peers.is_some() {
        checker.agreement();
        checker.downs();
        checker.verdicts();
        checker.acts();
        checker.budgets();
        checker.told();
    }
    let mut broken = checker.broken;
    broken.sort_by(|a, b| a.at.total_cmp(&b.at));
    (broken, figures(record))
}

fn figures(record: &Record) -> Figures {
    let whole = |sent: &Vec<(u64, u64)>| {
        sent.iter()
            .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
    };
    let seconds: usize = record.passed.sent.iter().map(Vec::len).sum();
    let sums = record
        .passed
        .sent
        .iter()
        .map(whole)
        .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
    let each = || record.passed.sent.iter().flatten();
    let mean = |sum: u64| sum as f64 / seconds.max(1) as f64;
    let uses: Vec<f64> = record
        .lives
        .iter()
        .filter(|l| l.until - l.from > 3.0)
        .map(|l| l.cpu / (l.until - l.from))
        .collect();
    let out = |life: &Life| {
        life.log
            .iter()
            .filter(|l| word(&l.said, "reason") == "verdict" && word(&l.said, "level") == "out")
            .count()
    };
    Figures {
        requests: record.asked.len(),
        served: record
            .asked
            .iter()
            .filter(|a| a.fate == RequestOutcome::Served)
            .count(),
        joined: record.joined,
        agreed: record.agreed.map_or(f64::NAN, |at| at - record.last),
        datagrams: (mean(sums.0), each().map(|s| s.0).max().unwrap_or(0)),
        bytes: (mean(sums.1), each().map(|s| s.1).max().unwrap_or(0)),
        cpu: (
            uses.iter().sum::<f64>() / uses.len().max(1) as f64,
            uses.iter().copied().fold(0.0, f64::max),
        ),
        outs: record.lives.iter().map(out).sum(),
    }
}

impl Checker<'_> {
    fn add(&mut self, check: &'static str, at: f64, who: String, what: String) {
        self.broken.push(Broken {
            check,
            at,
            who,
            what,
        });
    }

    /// Whether a router's process was struck at some time from and until then.
    fn struck(&self, router: usize, from: f64, until: f64) -> bool {
        self.record
            .blows
            .iter()
            .any(|b| b.whom == router && b.from - SLACK <= until && b.until + SLACK >= from)
    }

    /// One final answer each, and its own.
    fn answers(&mut self) {
        for Asked {
            router,
            at,
            took,
            id,
            fate,
            ..
        } in &self.record.asked
        {
            // Who asks a process that is killed, stopped or on its way out may be left without an answer.
            let excused = self.struck(*router, *at, at + took + RECOVERS);
            match fate {
                RequestOutcome::Foreign => self.add(
                    "answers",
                    *at,
                    format!("n{router}"),
                    format!("{id}: another's value"),
                ),
                RequestOutcome::Unanswered if !excused => {
                    self.add(
                        "answers",
                        *at,
                        format!("n{router}"),
                        format!("{id}: none in {took:.2} s"),
                    );
                }
                _ => {}
            }
        }
    }

    /// No write runs twice; what was served ran, and what was refused did not.
    fn writes(&mut self) {
        for Asked {
            router,
            at,
            id,
            fate,
            ..
        } in self.record.asked.iter().filter(|a| a.write)
        {
            let ran = self.record.wrote.get(id).copied().unwrap_or(0);
            let wrong = match fate {
                _ if ran > 1 => true,
                RequestOutcome::Served => ran != 1,
                RequestOutcome::Refused => ran != 0,
                _ => false,
            };
            if wrong {
                self.add(
                    "writes",
                    *at,
                    format!("n{router}"),
                    format!("{id}: {fate:?}, and ran {ran} times"),
                );
            }
        }
    }

    /// Nothing new comes to a node that drains, from routers that can know.
    fn drains(&mut self) {
        let overlaps =
            |a: &super::Fault, b: &super::Fault| a.at - SLACK <= b.until && b.at <= a.until + SLACK;
        for fault in &self.trial.faults {
            let What::Drain { nodes } = &fault.what else {
                continue;
            };
            let deaf = |other: &super::Fault| {
                let what = &other.what;
                super::draw::is_blow(what)
                    || matches!(what, What::AgentSilent { .. } | What::Wires { .. })
            };
            if self
                .trial
                .faults
                .iter()
                .any(|other| deaf(other) && overlaps(fault, other))
            {
                continue;
            }
            for node in nodes {
                let number = self::node(node).map_or(0, |n| n.0);
                let came = self.record.after_close.get(number).copied().unwrap_or(0);
                if came > 0 {
                    self.add(
                        "drains",
                        fault.at,
                        node.clone(),
                        format!("{came} statements after the grace"),
                    );
                }
            }
        }
    }

    /// Processes end when they are told to, and only then.
    fn exits(&mut self) {
        for life in &self.record.lives {
            let what = match life.end {
                End::Killed | End::Terminated(Some(0)) => continue,
                End::Terminated(code) => format!("ended with {code:?} after SIGTERM"),
                End::Itself(code) => format!("ended by itself with {code:?}"),
            };
            let last = life
                .log
                .last()
                .map(|l| l.said.to_string())
                .unwrap_or_default();
            self.add(
                "exits",
                life.until,
                name(life),
                format!("{what}; its last words: {last}"),
            );
        }
    }

    fn rules(&self) -> plovercove_gossip::Rules {
        rules(self.trial).unwrap_or_default()
    }

    /// After the last fault all that are up see each other by the bound, and agree on every node.
    fn agreement(&mut self) {
        let bound = self.rules().max_convergence_delay() as f64 / 1e6 + SLACK;
        let last = self.record.last;
        let closing = self.record.closing;
        let up: Vec<&Life> = self
            .record
            .lives
            .iter()
            .filter(|l| l.until >= closing && !l.twin)
            .collect();
        for life in &up {
            let seen: Vec<(f64, u64)> = life
                .log
                .iter()
                .filter_map(|l| Some((l.at, l.said["seen"].as_u64()?)))
                .collect();
            let late = seen
                .iter()
                .rev()
                .find(|(at, n)| *at < closing && *n != up.len() as u64);
            let right = seen.iter().rev().find(|(at, _)| *at < closing);
            let still = right.is_none_or(|(_, n)| *n != up.len() as u64);
            // It saw the wrong number until the next time that it told one.
            let until = match (late, still) {
                (_, true) => f64::INFINITY,
                (Some((at, _)), _) => seen
                    .iter()
                    .find(|(next, _)| next > at)
                    .map_or(*at, |(next, _)| *next),
                (None, false) => 0.0,
            };
            if until > last + bound {
                let what = format!(
                    "sees the others only at {until:.2} s, {bound:.1} s after {last:.2} s allowed"
                );
                self.broken.push(Broken {
                    check: "agreement",
                    at: last,
                    who: name(life),
                    what,
                });
            }
        }
        if self.record.agreed.is_none() {
            self.add(
                "agreement",
                last,
                "all".into(),
                "do not agree on who is there and on the nodes".into(),
            );
        }
    }

    /// Nobody is taken for gone who was there and could be reached.
    fn downs(&mut self) {
        let rules = self.rules();
        let window = (4 * rules.probe_ms + rules.suspect_ms) as f64 / 1e3 + 2.0;
        for life in &self.record.lives {
            for line in life
                .log
                .iter()
                .filter(|l| word(&l.said, "reason") == "peer down")
            {
                let (at, gone) = (line.at, word(&line.said, "router"));
                let number = gone.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
                let excused = at < 0.0
                    || number.is_none_or(|n| self.struck(n, at - window, at))
                    || self.struck(life.router, at - window, at)
                    || self
                        .record
                        .cuts
                        .iter()
                        .any(|c| c.0 <= at && c.1 + window >= at)
                    || self
                        .trial
                        .faults
                        .iter()
                        .any(|f| matches!(f.what, What::Twin { .. }) && f.at <= at)
                    || at >= self.record.closing;
                if !excused {
                    self.add("downs", at, name(life), format!("takes {gone} for gone"));
                }
            }
        }
    }

    /// The times at which a node's fault was in force, with what it takes until the evidence is over.
    fn at_fault(&self, number: usize, at: f64) -> bool {
        let oldest = self.rules().max_evidence_age() as f64 / 1e6;
        let of = self.record.nodes.iter().filter(|n| n.whom == number);
        of.into_iter()
            .any(|n| n.from - SLACK <= at && at <= n.until + oldest + SLACK)
    }

    /// The faults that touch a node.
    fn of_node(&self, number: usize) -> Vec<&What> {
        let placed: Vec<usize> = self.record.places.iter().map(|p| p.0).collect();
        let names = |n: &String| {
            super::play::select(n, 's', &placed, &self.trial.zones)
                .is_ok_and(|all| all.contains(&number))
        };
        let all = self.trial.faults.iter().map(|f| &f.what);
        all.filter(|what| what.nodes().iter().any(names)).collect()
    }

    /// Whether all that was ever wrong with a node were links of routers that must not speak for it: those of one zone, of
    /// one router, or of routers that were cut off from more than a third of all nodes.
    fn only_links(&self, number: usize) -> bool {
        let zones = self.trial.routers();
        let placed: Vec<usize> = self.record.places.iter().map(|p| p.0).collect();
        let pick = |names: &[String], letter: char, zoned: &[usize]| {
            let each = |n: &String| {
                super::play::select(n, letter, zoned, &self.trial.zones).unwrap_or_default()
            };
            names.iter().flat_map(each).collect::<BTreeSet<usize>>()
        };
        let (mut behind, mut blind) = (BTreeSet::new(), true);
        for what in self.of_node(number) {
            let What::Wires { routers, nodes, .. } = what else {
                return false;
            };
            behind.extend(pick(routers, 'n', &zones));
            blind &= pick(nodes, 's', &placed).len() * 3 > placed.len();
        }
        let from: BTreeSet<usize> = behind.iter().map(|r| zones[*r]).collect();
        !behind.is_empty()
            && (behind.len() == 1 || blind || (from.len() == 1 && self.trial.zones.len() > 1))
    }

    /// No node is out without fault, or longer than its evidence lives, or beyond a third of its group.
    fn verdicts(&mut self) {
        let oldest = self.rules().max_evidence_age() as f64 / 1e6;
        let mut found = Vec::new();
        for life in &self.record.lives {
            let mut levels: BTreeMap<&str, &str> = BTreeMap::new();
            for line in life
                .log
                .iter()
                .filter(|l| word(&l.said, "reason") == "verdict")
            {
                let (node, level, at) =
                    (word(&line.said, "node"), word(&line.said, "level"), line.at);
                let Some((number, new)) = self::node(node) else {
                    continue;
                };
                let was = levels.insert(node, level);
                let age = line.said["oldest_ms"].as_f64().unwrap_or(0.0) / 1e3;
                if level == "out" {
                    if new || !self.at_fault(number, at) {
                        found.push((
                            "innocent",
                            at,
                            name(life),
                            format!("{node} is out without fault"),
                        ));
                    }
                    if self.only_links(number) {
                        found.push((
                            "links",
                            at,
                            name(life),
                            format!("{node} is out for links that are not its own"),
                        ));
                    }
                }
                let slow = self
                    .of_node(number)
                    .iter()
                    .all(|what| matches!(what, What::NodeSlow { .. }));
                if level == "out" && slow && number.is_multiple_of(self.trial.members) {
                    found.push((
                        "primary",
                        at,
                        name(life),
                        format!("{node} is a primary, and out for being slow"),
                    ));
                }
                if level == "out" && age > oldest {
                    found.push((
                        "evidence",
                        at,
                        name(life),
                        format!("{node} is out by evidence {age:.2} s old"),
                    ));
                }
                if was == Some("out")
                    && level != "out"
                    && !self.at_fault(number, at)
                    && !self.stopped(life, at)
                {
                    found.push((
                        "evidence",
                        at,
                        name(life),
                        format!("{node} was out until then"),
                    ));
                }
                let Some((_, group)) = self.record.places.get(number).copied() else {
                    continue;
                };
                let same = |other: &str| {
                    self::node(other).is_some_and(|(n, _)| self.record.places[n].1 == group)
                };
                let out = levels
                    .iter()
                    .filter(|(n, l)| **l == "out" && same(n))
                    .count();
                let members = self.record.places.iter().filter(|p| p.1 == group).count();
                if out > members / 3 {
                    found.push((
                        "third",
                        at,
                        name(life),
                        format!("{out} of {members} of group {group} are out"),
                    ));
                }
            }
            for (node, _) in levels.into_iter().filter(|(_, level)| *level == "out") {
                let Some((number, _)) = self::node(node) else {
                    continue;
                };
                if life.until >= self.record.closing && !self.at_fault(number, self.record.closing)
                {
                    found.push((
                        "evidence",
                        life.until,
                        name(life),
                        format!("{node} is still out at its end"),
                    ));
                }
            }
        }
        for (check, at, who, what) in found {
            self.add(check, at, who, what);
        }
    }

    /// Whether a process stood still shortly before: it cannot act while it does.
    fn stopped(&self, life: &Life, at: f64) -> bool {
        self.struck(life.router, at - RECOVERS, at)
    }

    /// The zones with a router that met a node often enough, from when it was bad until the evidence has to be complete.
    fn zones_that_met(&self, number: usize, from: f64) -> BTreeSet<usize> {
        let asked = self.record.asked.iter();
        let router_of: HashMap<&str, usize> = asked.map(|a| (a.id.as_str(), a.router)).collect();
        let mut meetings: HashMap<usize, usize> = HashMap::new();
        for met in self.record.unserved.get(number).into_iter().flatten() {
            if let Some(router) = router_of.get(met.id.as_str())
                && (from..=from + MEETS).contains(&met.at)
            {
                *meetings.entry(*router).or_default() += 1;
            }
        }
        let zones = self.trial.routers();
        let often = meetings.into_iter().filter(|(_, count)| *count >= MEETINGS);
        often.map(|(router, _)| zones[router]).collect()
    }

    /// Whether a verdict on a node may fall: observers of one zone, where there are two, speak for their link.
    fn may_be_judged(&self, number: usize, from: f64) -> bool {
        let zones: BTreeSet<usize> = self.trial.routers().into_iter().collect();
        zones.len() < 2 || self.zones_that_met(number, from).len() >= 2
    }

    /// All that could hear of it have taken a bad node out by the bound.
    fn acts(&mut self) {
        let bound = self.rules().max_reaction_delay() as f64 / 1e6 + MEETS;
        for wanted in &self.trial.out {
            let Some((number, _)) = self::node(wanted) else {
                continue;
            };
            let Some(from) = self
                .record
                .nodes
                .iter()
                .filter(|n| n.whom == number)
                .map(|n| n.from)
                .reduce(f64::min)
            else {
                continue;
            };
            if !self.may_be_judged(number, from) {
                continue;
            }
            let mut late = Vec::new();
            for life in self
                .record
                .lives
                .iter()
                .filter(|l| l.from <= from && l.until >= from + bound && !l.twin)
            {
                if self.struck(life.router, from, from + bound) {
                    continue;
                }
                let out = life.log.iter().any(|l| {
                    word(&l.said, "node") == wanted
                        && word(&l.said, "level") == "out"
                        && (from..=from + bound).contains(&l.at)
                });
                if !out {
                    late.push((
                        from + bound,
                        name(life),
                        format!("{wanted} is not out {bound:.1} s after {from:.1} s"),
                    ));
                }
            }
            // Who starts while it is bad is told by the others, once it has found them.
            let until = self
                .record
                .nodes
                .iter()
                .filter(|n| n.whom == number)
                .map(|n| n.until)
                .fold(0.0, f64::max);
            let all = self
                .record
                .lives
                .iter()
                .filter(|l| l.until >= self.record.last && !l.twin)
                .count();
            for life in self
                .record
                .lives
                .iter()
                .filter(|l| l.from > from && !l.twin)
            {
                let found = life
                    .log
                    .iter()
                    .find(|l| l.said["seen"].as_u64() == Some(all as u64))
                    .map(|l| l.at);
                let Some(found) = found.filter(|at| at + bound < until.min(life.until)) else {
                    continue;
                };
                let out = life.log.iter().any(|l| {
                    word(&l.said, "node") == wanted
                        && word(&l.said, "level") == "out"
                        && l.at <= found + bound
                });
                if !out {
                    let what = format!(
                        "{wanted} is not out {bound:.1} s after it found the others at {found:.1} s"
                    );
                    late.push((found + bound, name(life), what));
                }
            }
            for (at, who, what) in late {
                self.add("acts", at, who, what);
            }
        }
    }

    /// No router sends more than its budget, by what the links counted.
    fn budgets(&mut self) {
        let rules = self.rules();
        // Half a second's worth may have been saved up.
        let most = |rate: u32| (f64::from(rate) * 1.5) as u64 + 1;
        for (router, sent) in self.record.passed.sent.iter().enumerate() {
            for (second, (datagrams, bytes)) in sent.iter().enumerate() {
                if *datagrams > most(rules.datagrams_per_s) || *bytes > most(rules.bytes_per_s) {
                    let what = format!("{datagrams} datagrams and {bytes} bytes in a second");
                    let at = second as f64 - self.record.joined;
                    self.broken.push(Broken {
                        check: "budgets",
                        at,
                        who: format!("n{router}"),
                        what,
                    });
                }
            }
        }
        if self.record.passed.longest > plovercove_gossip::MAX_DATAGRAM_BYTES {
            let what = format!("a datagram of {} bytes", self.record.passed.longest);
            self.add("budgets", 0.0, "links".into(), what);
        }
    }

    /// What operators must hear of is in the log, and not over and over.
    fn told(&mut self) {
        let says = |reason: &str| {
            let of = move |l: &super::play::Line| word(&l.said, "reason") == reason;
            self.record
                .lives
                .iter()
                .map(|life| life.log.iter().filter(|l| of(l)).count())
                .collect::<Vec<_>>()
        };
        let twins = self
            .trial
            .faults
            .iter()
            .any(|f| matches!(f.what, What::Twin { .. }));
        let flood = self
            .trial
            .faults
            .iter()
            .any(|f| matches!(f.what, What::Flood { .. }));
        let (twin_lines, dropped) = (says("twins"), says("dropped"));
        if twins && twin_lines.iter().sum::<usize>() == 0 {
            self.add(
                "told",
                0.0,
                "all".into(),
                "nobody tells of two routers with one name".into(),
            );
        }
        if flood && dropped.iter().sum::<usize>() == 0 {
            self.add(
                "told",
                0.0,
                "all".into(),
                "nobody tells of strangers".into(),
            );
        }
        for (life, lines) in self.record.lives.iter().zip(dropped) {
            // One line for each of eight causes in ten seconds.
            let most = 8.0 * ((life.until - life.from) / 10.0 + 1.0);
            if lines as f64 > most {
                self.broken.push(Broken {
                    check: "told",
                    at: life.until,
                    who: name(life),
                    what: format!("{lines} lines on datagrams that were dropped"),
                });
            }
        }
    }
}
