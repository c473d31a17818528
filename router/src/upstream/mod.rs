//! Upstreams: what db nodes speak. Each carries out attempts and reports how they end.

pub mod pg;
pub mod reply;
