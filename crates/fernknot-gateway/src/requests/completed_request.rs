//! A request that the engine has completed, and the response to its client.

use super::pending_request::PendingRequest;
use super::response::FinalResponse;
use crate::engine_setup::LOOP_GRANULARITY_MS;
use fernknot::interface::Nanos;
use fernknot_engine::Verdict;

/// A request with the verdict of the engine (`fernknot-engine`): enough shards have answered, it is rejected, or it has
/// failed.
pub(crate) struct CompletedRequest {
    pub(crate) request: PendingRequest,
    pub(crate) verdict: Verdict,
}

impl CompletedRequest {
    /// Returns the response to the client. A merged body is written into `merged`.
    pub(crate) fn response<'a>(&'a self, now: Nanos, merged: &'a mut Vec<u8>) -> FinalResponse<'a> {
        let granularity = Nanos::from_millis(LOOP_GRANULARITY_MS);
        match &self.verdict {
            Verdict::Completed { .. } => {
                let merged = self.request.merged_response(merged);
                merged.unwrap_or_else(|| self.request.error_response(502))
            }
            Verdict::Rejected { retry_after: wait } => self.request.rejection(wait.unwrap_or(granularity)),
            Verdict::Failed if now + granularity >= self.request.deadline => self.request.error_response(504),
            Verdict::Failed => self.request.error_response(502),
        }
    }
}
