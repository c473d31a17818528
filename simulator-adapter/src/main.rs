//! Carries the wire to and from any number of plovercove instances: it parses, translates and flushes.
//! Every decision is the library's.

mod read;
mod write;

use plovercove::{Action, Balancer, Endpoint, Event};
use plovercove_settings::Fault;
use read::Incoming;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// One router of this process: its decisions and the names that its numbers stand for.
struct Instance {
    balancer: Balancer,
    names: read::Names,
}

/// All that this process holds. Instances share only the numbered node lists, which belong to the wire.
#[derive(Default)]
struct Host {
    pools: BTreeMap<u64, Vec<Endpoint>>,
    instances: BTreeMap<String, Instance>,
}

impl Host {
    /// Answers one line of input with one line of output.
    fn answer(&mut self, line: &str, reply: &mut String) -> Result<(), Fault> {
        let batch = read::batch(line)?;
        reply.push_str("{\"routers\":[");
        for (who, input) in read::routers(&batch)? {
            let mut orders = Vec::new();
            let mut broken = None;
            let mut events = Vec::new();
            for (place, message) in input.iter().enumerate() {
                let names = self.instances.get(who).map(|i| &i.names);
                let incoming = read::message(message, names, &self.pools)
                    .map_err(|fault| fault.within(&format!("event {place} of {who}")))?;
                match incoming {
                    Incoming::Pool(number, entries) => {
                        self.pools.insert(number, entries);
                    }
                    Incoming::Spawn(seed, settings) => {
                        self.decide(
                            who,
                            read::clock(&batch)?,
                            &mut events,
                            &mut orders,
                            &mut broken,
                        );
                        let names = read::Names::of(&settings);
                        let balancer = Balancer::new(settings.settings, seed);
                        self.instances
                            .insert(who.to_string(), Instance { balancer, names });
                    }
                    Incoming::Exit => {
                        events.clear();
                        orders.clear();
                        self.instances.remove(who);
                    }
                    Incoming::Event(event) => {
                        if !self.instances.contains_key(who) {
                            return Err(Fault::new(format!(
                                "event {place} of {who}: no Spawn came before it"
                            )));
                        }
                        events.push(event);
                    }
                }
            }
            self.decide(
                who,
                read::clock(&batch)?,
                &mut events,
                &mut orders,
                &mut broken,
            );
            write::orders(reply, who, &orders, broken.as_deref());
        }
        reply.push_str("]}\n");
        Ok(())
    }

    /// Hands the gathered events to the instance; a panic in it is kept for the reply.
    fn decide(
        &mut self,
        who: &str,
        now: u64,
        events: &mut Vec<Event>,
        orders: &mut Vec<Action>,
        broken: &mut Option<String>,
    ) {
        let Some(instance) = self.instances.get_mut(who) else {
            return;
        };
        let taken = std::mem::take(events);
        if taken.is_empty() {
            return;
        }
        let run = catch_unwind(AssertUnwindSafe(|| {
            instance.balancer.handle(now, taken, orders)
        }));
        if let Err(cause) = run {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| cause.downcast_ref::<&str>().copied());
            *broken = Some(text.unwrap_or("panic in the decision module").to_string());
        }
    }
}

fn serve() -> Result<(), Fault> {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let (mut line, mut reply) = (String::new(), String::new());
    for number in 1u64.. {
        line.clear();
        reply.clear();
        let at = format!("line {number}");
        let got = input
            .read_line(&mut line)
            .map_err(|e| Fault::new(e.to_string()).within(&at))?;
        if got == 0 {
            break;
        }
        host.answer(&line, &mut reply)
            .map_err(|fault| fault.within(&at))?;
        let sent = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        sent.map_err(|e| Fault::new(format!("cannot write the reply: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("plovercove-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
