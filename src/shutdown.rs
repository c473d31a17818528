//! Shutdown: the time by which a router that shuts down answers all requests.
//!
//! It prevents that a request is lost with the process. Without it, a request would be held for as long as its client
//! waits, while no node answers, and the process may be killed before that.

use crate::api::{RequestId, Time};
use crate::balancer::Balancer;
use crate::request::Request;

impl Balancer {
    /// Answers all requests by this time, those that are open and those that still arrive.
    pub(crate) fn begin_shutdown(&mut self, answer_by: Time) {
        self.answer_by = Some(answer_by);
        let is_later = |request: &Request| request.awaits_answer() && request.deadline > answer_by;
        let later = self.requests.iter().filter(|(_, r)| is_later(r));
        let later: Vec<RequestId> = later.map(|(id, _)| *id).collect();
        for id in later {
            self.advance_deadline(id, answer_by);
        }
    }

    fn advance_deadline(&mut self, id: RequestId, deadline: Time) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.deadlines.remove(&(request.deadline, id));
        request.deadline = deadline;
        self.deadlines.insert((deadline, id));
    }
}
