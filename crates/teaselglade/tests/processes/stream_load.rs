//! Concurrent streams, and the check that each is complete.

use teaselglade::caller::{CallerClient, StreamReport, StreamRequest};
use teaselglade_standins::engine::response_text;

use super::harness::TestFleet;

/// Concurrent streams, each with its own prompt.
#[derive(Debug, Clone, Copy)]
pub struct StreamLoad {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of tokens of each stream.
    pub tokens: u32,
}

impl StreamLoad {
    /// Runs all streams to the end.
    pub async fn run(self, fleet: &TestFleet) -> Vec<StreamReport> {
        let entries = fleet.callers();
        let client = CallerClient::default();
        let streams = (0..self.streams).map(|index| {
            let (client, entries) = (&client, &entries);
            async move { client.generate(entries, &self.request(index)).await }
        });
        futures::future::join_all(streams).await
    }

    /// Returns the request of one stream.
    pub fn request(self, index: usize) -> StreamRequest {
        StreamRequest {
            organisation: "dragons-sleeve".to_owned(),
            service: "patter-engine".to_owned(),
            prompt: format!("a script for trick {index}"),
            max_tokens: self.tokens,
        }
    }

    /// Asserts that every caller got its own complete stream, with no token lost or repeated.
    pub fn assert_complete(self, reports: &[StreamReport]) {
        assert_eq!(reports.len(), self.streams);
        for (index, report) in reports.iter().enumerate() {
            assert!(report.is_complete(), "{report:?}");
            let expected = response_text(&self.request(index).prompt, self.tokens);
            assert_eq!(report.text(), expected);
        }
    }
}
