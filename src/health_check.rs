//! Health checks: when this router polls a node for its load report, in addition to the requests that it sends.
//!
//! Outlier detection polls a node before it ejects it, and freshness polls a replica for its position. If hundreds of
//! routers polled for every read, the polls would be a large part of all traffic, so each poll needs a reason.

use crate::api::{Micros, ReportSource, Settings, Time};
use crate::node::Node;

/// Minimum time between two health checks of a node; its reports do not change faster than this.
pub(crate) const MIN_TIME_BETWEEN_CHECKS: Micros = 100_000;
/// Maximum time that a read waits for a report that may prove a replica fresh.
pub(crate) const MAX_WAIT_FOR_REPORT: Micros = 20_000;

/// Returns whether it is worthwhile to poll a node for its position, that is, whether the position may have advanced
/// enough since the last report. A replica takes about as long to catch up as the lag took to build up.
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
