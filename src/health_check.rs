//! Health checks: when this router asks a node for its report beside the requests that it sends.
//!
//! They serve outlier detection, which asks before it ejects, and freshness, which asks a replica how far it is. Hundreds
//! of routers that ask for every read would make a large part of all traffic, so each question needs a reason.

use crate::api::{Micros, ReportSource, Settings, Time};
use crate::node::Node;

/// Least time between two checks of a node: its reports are no newer than that.
pub(crate) const MIN_TIME_BETWEEN_CHECKS: Micros = 100_000;
/// A read waits so long for the report that may prove a replica fresh.
pub(crate) const MAX_WAIT_FOR_REPORT: Micros = 20_000;

/// Whether asking a node for its position pays: it may have moved on since its last word. A lag takes about as long to make
/// good as it took to build up.
pub(crate) fn position_check_pays(settings: &Settings, node: &Node, now: Time) -> bool {
    if !settings.health_checks_allowed || settings.reports == ReportSource::None {
        return false;
    }
    if now < node.checked_at + MIN_TIME_BETWEEN_CHECKS {
        return false;
    }
    let Some(lag) = node.position.last_lag() else {
        return true;
    };
    now >= node.position.updated_at + lag.max(MIN_TIME_BETWEEN_CHECKS)
}
