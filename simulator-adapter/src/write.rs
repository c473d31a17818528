//! Actions in the words of the wire.

use plovercove::Action;
use simd_json::prelude::*;
use std::fmt::Write;

/// Appends one instance's part of a reply; nothing where it has nothing to say.
pub fn orders(reply: &mut String, who: &str, actions: &[Action], broken: Option<&str>) {
    if actions.is_empty() && broken.is_none() {
        return;
    }
    if reply.ends_with('}') {
        reply.push(',');
    }
    let _ = write!(reply, "{{\"Who\":{},\"orders\":[", quoted(who));
    for (place, action) in actions.iter().enumerate() {
        if place > 0 {
            reply.push(',');
        }
        order(reply, action);
    }
    if let Some(text) = broken {
        let comma = if actions.is_empty() { "" } else { "," };
        let _ = write!(reply, "{comma}[\"GiveIn\",{}]", quoted(text));
    }
    reply.push_str("]}");
}

fn quoted(text: &str) -> String {
    simd_json::OwnedValue::from(text).encode()
}

fn order(reply: &mut String, action: &Action) {
    let done = match action {
        Action::Send {
            request,
            node,
            timeout,
        } => {
            write!(reply, "[\"Send\",{request},{},{timeout}]", quoted(node))
        }
        Action::Cancel { request, attempt } => write!(reply, "[\"Retract\",{request},{attempt}]"),
        Action::Reject {
            request,
            retry_after: Some(wait),
        } => {
            write!(reply, "[\"OverloadReply\",{request},{wait}]")
        }
        Action::Reject {
            request,
            retry_after: None,
        } => write!(reply, "[\"OverloadReply\",{request},null]"),
        Action::Fail { request } => write!(reply, "[\"DropRequest\",{request}]"),
        Action::Wake(delay) => write!(reply, "[\"WakeAt\",{delay},\"wake\"]"),
        Action::HealthCheck(node) => write!(reply, "[\"Check\",{}]", quoted(node)),
        Action::CloseIdle(node) => write!(reply, "[\"HangUp\",{}]", quoted(node)),
        Action::Subscribe => write!(reply, "[\"Track\",true]"),
        Action::Log(news) => write!(reply, "[\"Record\",{}]", quoted(&news.text)),
    };
    debug_assert!(done.is_ok(), "a string takes every write");
}
