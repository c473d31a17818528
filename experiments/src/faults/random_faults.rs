//! Draws schedules of faults from a seed, and shrinks schedules that fail.

use super::{Fault, Scenario, What};
use plovercove_emulator::links::LinkConditions;
use plovercove_simulation::SimRng;
use rand::{RngExt, SeedableRng};

/// Latest beginning of a random fault (s).
const MAX_START_S: f64 = 5.0;
/// Minimum duration of a random fault (s).
const MIN_DURATION_S: f64 = 0.4;
/// Maximum duration of a random fault (s).
const MAX_DURATION_S: f64 = 4.0;

/// Draws between one and `max_count` different names of `count` routers or nodes, such as `n0`.
fn draw_names(dice: &mut SimRng, letter: char, count: usize, max_count: usize) -> Vec<String> {
    let drawn = dice.random_range(1..=max_count.min(count).max(1));
    let mut numbers: Vec<usize> = (0..count).collect();
    for n in 0..drawn {
        let other = dice.random_range(n..count);
        numbers.swap(n, other);
    }
    numbers[..drawn]
        .iter()
        .map(|n| format!("{letter}{n}"))
        .collect()
}

/// Draws the random faults of a scenario from a seed.
pub fn draw_faults(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut dice = SimRng::seed_from_u64(seed ^ 0x5eed_fa17);
    let (routers, nodes) = (scenario.routers().len(), scenario.nodes().len());
    let peers = scenario.peers.is_some();
    let mut drawn: Vec<Fault> = Vec::new();
    while drawn.len() < scenario.random {
        let at = dice.random::<f64>() * MAX_START_S;
        let until = at + MIN_DURATION_S + dice.random::<f64>() * (MAX_DURATION_S - MIN_DURATION_S);
        let few_routers = |dice: &mut SimRng| draw_names(dice, 'n', routers, routers / 3);
        // Only replicas are drawn: a group whose primary fails needs a new one, and the emulated nodes do not elect one.
        let one_replica = |dice: &mut SimRng| loop {
            let n = dice.random_range(0..nodes);
            if n % scenario.members != 0 {
                return vec![format!("s{n}")];
            }
        };
        let what = match dice.random_range(0..if peers { 14 } else { 9 }) {
            0 => What::Kill {
                routers: few_routers(&mut dice),
            },
            1 => What::Term {
                routers: few_routers(&mut dice),
            },
            2 => What::Stop {
                routers: few_routers(&mut dice),
            },
            3 => What::Duty {
                routers: draw_names(&mut dice, 'n', routers, 2),
                on_ms: 150,
                off_ms: 250,
            },
            4 => What::NodeDown {
                nodes: one_replica(&mut dice),
            },
            5 => What::NodeSilent {
                nodes: one_replica(&mut dice),
            },
            6 => What::Wires {
                routers: few_routers(&mut dice),
                nodes: one_replica(&mut dice),
                home_only: dice.random(),
            },
            7 => What::AgentSilent {
                routers: few_routers(&mut dice),
            },
            8 => What::Drain {
                nodes: one_replica(&mut dice),
            },
            9 => {
                let conditions = LinkConditions {
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
                    weather: conditions,
                }
            }
            10 => {
                let conditions = LinkConditions {
                    cut: true,
                    ..LinkConditions::default()
                };
                What::Link {
                    from: few_routers(&mut dice),
                    to: few_routers(&mut dice),
                    weather: conditions,
                }
            }
            11 | 12 => {
                let cut = dice.random_range(1..routers.max(2));
                let all = draw_names(&mut dice, 'n', routers, routers);
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
                routers: few_routers(&mut dice),
                rate: 200,
            },
        };
        // A node has at most one fault, and a process of a router too, because the end of one fault would undo the other.
        let conflicts = |other: &What| {
            let intersect = |a: Vec<String>, b: Vec<String>| a.iter().any(|x| b.contains(x));
            intersect(other.nodes(), what.nodes())
                || (is_process_fault(other)
                    && is_process_fault(&what)
                    && intersect(other.routers(), what.routers()))
        };
        if drawn.iter().any(|f| conflicts(&f.what)) {
            // Another fault is drawn instead. The schedule ends here with a probability of 0.2, because a crowded schedule may have
            // no room for another fault.
            if dice.random::<f64>() < 0.2 {
                break;
            }
            continue;
        }
        drawn.push(Fault { at, until, what });
    }
    drawn
}

/// Returns whether a fault affects router processes.
pub fn is_process_fault(what: &What) -> bool {
    matches!(
        what,
        What::Kill { .. }
            | What::Term { .. }
            | What::Stop { .. }
            | What::Duty { .. }
            | What::Rolling { .. }
    )
}

/// Removes each fault without which the schedule still fails.
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
