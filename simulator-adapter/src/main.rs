//! Adapter between a simulator's line protocol and any number of plovercove instances. It parses input lines, translates
//! messages and writes replies; the library makes all decisions.

mod read;
mod write;

use plovercove::{Action, Balancer, Endpoint, Event};
use plovercove_settings::Fault;
use read::Incoming;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// A router of this process: its decision module, and the names of classes, tenants and report columns.
struct Instance {
    balancer: Balancer,
    names: read::Names,
}

/// The routers of this process and the endpoint lists. Instances share only the numbered endpoint lists of the protocol.
#[derive(Default)]
struct Adapter {
    pools: BTreeMap<u64, Vec<Endpoint>>,
    instances: BTreeMap<String, Instance>,
}

impl Adapter {
    /// Handles a line of input and writes a line of output to `reply`.
    fn handle_line(&mut self, line: &str, reply: &mut String) -> Result<(), Fault> {
        let batch = read::parse_batch(line)?;
        reply.push_str("{\"routers\":[");
        for (router_name, messages) in read::routers(&batch)? {
            let mut actions = Vec::new();
            let mut panic_text = None;
            let mut events = Vec::new();
            for (position, message) in messages.iter().enumerate() {
                let names = self.instances.get(router_name).map(|i| &i.names);
                let incoming = read::read_message(message, names, &self.pools)
                    .map_err(|fault| fault.within(&format!("event {position} of {router_name}")))?;
                match incoming {
                    Incoming::Pool(number, entries) => {
                        self.pools.insert(number, entries);
                    }
                    Incoming::Spawn(seed, settings) => {
                        self.decide(
                            router_name,
                            read::clock(&batch)?,
                            &mut events,
                            &mut actions,
                            &mut panic_text,
                        );
                        let names = read::Names::of(&settings);
                        let balancer = Balancer::new(settings.settings, seed);
                        self.instances
                            .insert(router_name.to_string(), Instance { balancer, names });
                    }
                    Incoming::Exit => {
                        events.clear();
                        actions.clear();
                        self.instances.remove(router_name);
                    }
                    Incoming::Event(event) => {
                        if !self.instances.contains_key(router_name) {
                            return Err(Fault::new(format!(
                                "event {position} of {router_name}: no Spawn came before it"
                            )));
                        }
                        events.push(event);
                    }
                }
            }
            self.decide(
                router_name,
                read::clock(&batch)?,
                &mut events,
                &mut actions,
                &mut panic_text,
            );
            write::write_actions(reply, router_name, &actions, panic_text.as_deref());
        }
        reply.push_str("]}\n");
        Ok(())
    }

    /// Passes the collected events to the instance. A panic is caught and its message stored in `panic_text`.
    fn decide(
        &mut self,
        router_name: &str,
        now: u64,
        events: &mut Vec<Event>,
        actions: &mut Vec<Action>,
        panic_text: &mut Option<String>,
    ) {
        let Some(instance) = self.instances.get_mut(router_name) else {
            return;
        };
        let pending = std::mem::take(events);
        if pending.is_empty() {
            return;
        }
        let outcome = catch_unwind(AssertUnwindSafe(|| {
            instance.balancer.handle(now, pending, actions)
        }));
        if let Err(payload) = outcome {
            let text = payload.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
            *panic_text = Some(text.unwrap_or("panic in the decision module").to_string());
        }
    }
}

fn serve_lines() -> Result<(), Fault> {
    let mut adapter = Adapter::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let (mut line, mut reply) = (String::new(), String::new());
    for number in 1u64.. {
        line.clear();
        reply.clear();
        let location = format!("line {number}");
        let bytes_read = input
            .read_line(&mut line)
            .map_err(|e| Fault::new(e.to_string()).within(&location))?;
        if bytes_read == 0 {
            break;
        }
        adapter
            .handle_line(&line, &mut reply)
            .map_err(|fault| fault.within(&location))?;
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        written.map_err(|e| Fault::new(format!("cannot write the reply: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve_lines() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("plovercove-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
