//! Schedules drawn from a seed, and made smaller while they still fail.

use super::{Fault, Trial, What};
use plovercove_emulator::links::Weather;
use plovercove_simulation::SimRng;
use rand::{RngExt, SeedableRng};

/// Drawn faults begin within so many seconds, and last from and up to so many.
const TIMES: (f64, f64, f64) = (5.0, 0.4, 4.0);

/// Some different ones of `n0` and so on.
fn some(dice: &mut SimRng, letter: char, all: usize, most: usize) -> Vec<String> {
    let count = dice.random_range(1..=most.min(all).max(1));
    let mut names: Vec<usize> = (0..all).collect();
    for n in 0..count {
        let other = dice.random_range(n..all);
        names.swap(n, other);
    }
    names[..count]
        .iter()
        .map(|n| format!("{letter}{n}"))
        .collect()
}

/// The faults that a seed stands for.
pub fn faults(trial: &Trial, seed: u64) -> Vec<Fault> {
    let mut dice = SimRng::seed_from_u64(seed ^ 0x5eed_fa17);
    let (routers, nodes) = (trial.routers().len(), trial.nodes().len());
    let peers = trial.peers.is_some();
    let mut drawn: Vec<Fault> = Vec::new();
    while drawn.len() < trial.random {
        let at = dice.random::<f64>() * TIMES.0;
        let until = at + TIMES.1 + dice.random::<f64>() * (TIMES.2 - TIMES.1);
        let few = |dice: &mut SimRng| some(dice, 'n', routers, routers / 3);
        // Replicas alone: a group whose primary dies needs another, which these stand-ins do not choose.
        let replica = |dice: &mut SimRng| loop {
            let n = dice.random_range(0..nodes);
            if n % trial.members != 0 {
                return vec![format!("s{n}")];
            }
        };
        let what = match dice.random_range(0..if peers { 14 } else { 9 }) {
            0 => What::Kill {
                routers: few(&mut dice),
            },
            1 => What::Term {
                routers: few(&mut dice),
            },
            2 => What::Stop {
                routers: few(&mut dice),
            },
            3 => What::Duty {
                routers: some(&mut dice, 'n', routers, 2),
                on_ms: 150,
                off_ms: 250,
            },
            4 => What::NodeDown {
                nodes: replica(&mut dice),
            },
            5 => What::NodeSilent {
                nodes: replica(&mut dice),
            },
            6 => What::Wires {
                routers: few(&mut dice),
                nodes: replica(&mut dice),
                home_only: dice.random(),
            },
            7 => What::AgentSilent {
                routers: few(&mut dice),
            },
            8 => What::Drain {
                nodes: replica(&mut dice),
            },
            9 => {
                let weather = Weather {
                    loss: dice.random::<f64>() * 0.3,
                    delay_ms: dice.random::<f64>() * 60.0,
                    jitter_ms: dice.random::<f64>() * 100.0,
                    duplicate: dice.random::<f64>() * 0.2,
                    flip: dice.random::<f64>() * 0.1,
                    cut: false,
                };
                What::Link {
                    from: vec!["*".into()],
                    to: vec!["*".into()],
                    weather,
                }
            }
            10 => {
                let weather = Weather {
                    cut: true,
                    ..Weather::default()
                };
                What::Link {
                    from: few(&mut dice),
                    to: few(&mut dice),
                    weather,
                }
            }
            11 | 12 => {
                let cut = dice.random_range(1..routers.max(2));
                let all = some(&mut dice, 'n', routers, routers);
                let left: Vec<String> = all.iter().take(cut).cloned().collect();
                let rest = (0..routers)
                    .map(|n| format!("n{n}"))
                    .filter(|n| !left.contains(n))
                    .collect();
                What::Partition {
                    parts: vec![left, rest],
                }
            }
            _ => What::Flood {
                routers: few(&mut dice),
                rate: 200,
            },
        };
        // One fault of a kind at a time for each router and node: two would undo each other.
        let touches = |other: &What| {
            let both = |a: Vec<String>, b: Vec<String>| a.iter().any(|x| b.contains(x));
            both(other.nodes(), what.nodes())
                || (is_blow(other) && is_blow(&what) && both(other.routers(), what.routers()))
        };
        if drawn.iter().any(|f| touches(&f.what)) {
            // Drawn anew, unless it grows too crowded.
            if dice.random::<f64>() < 0.2 {
                break;
            }
            continue;
        }
        drawn.push(Fault { at, until, what });
    }
    drawn
}

/// Whether it strikes processes.
pub fn is_blow(what: &What) -> bool {
    matches!(
        what,
        What::Kill { .. }
            | What::Term { .. }
            | What::Stop { .. }
            | What::Duty { .. }
            | What::Rolling { .. }
    )
}

/// Drops faults while it still fails without them.
pub fn shrink(mut faults: Vec<Fault>, mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut n = 0;
    while n < faults.len() {
        let mut fewer = faults.clone();
        fewer.remove(n);
        if fails(&fewer) {
            faults = fewer;
        } else {
            n += 1;
        }
    }
    faults
}

#[cfg(test)]
mod tests;
