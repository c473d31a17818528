//! Writes actions as messages of the line protocol.

use plovercove::Action;
use simd_json::prelude::*;
use std::fmt::Write;

/// Appends the actions of an instance to a reply, and a message for a panic. Appends nothing if there is neither.
pub fn write_actions(
    reply: &mut String,
    router_name: &str,
    actions: &[Action],
    panic_text: Option<&str>,
) {
    if actions.is_empty() && panic_text.is_none() {
        return;
    }
    if reply.ends_with('}') {
        reply.push(',');
    }
    let _ = write!(reply, "{{\"Who\":{},\"orders\":[", json_string(router_name));
    for (position, action) in actions.iter().enumerate() {
        if position > 0 {
            reply.push(',');
        }
        write_action(reply, action);
    }
    if let Some(text) = panic_text {
        let comma = if actions.is_empty() { "" } else { "," };
        let _ = write!(reply, "{comma}[\"GiveIn\",{}]", json_string(text));
    }
    reply.push_str("]}");
}

fn json_string(text: &str) -> String {
    simd_json::OwnedValue::from(text).encode()
}

fn write_action(reply: &mut String, action: &Action) {
    let written = match action {
        Action::Send {
            request,
            node,
            timeout,
        } => {
            write!(
                reply,
                "[\"Send\",{request},{},{timeout}]",
                json_string(node)
            )
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
        Action::HealthCheck(node) => write!(reply, "[\"Check\",{}]", json_string(node)),
        Action::CloseIdle(node) => write!(reply, "[\"HangUp\",{}]", json_string(node)),
        Action::Subscribe => write!(reply, "[\"Track\",true]"),
        Action::Log(event) => write!(reply, "[\"Record\",{}]", json_string(&event.text)),
    };
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}
