//! Streams that run at the same time, and the check that each is whole.

use teaselglade::caller::{CallerClient, StreamQuery, StreamReport};
use teaselglade_standins::engine::response_text;

use super::harness::TestFleet;

/// Streams that run at the same time, each with a prompt of its own.
#[derive(Debug, Clone, Copy)]
pub struct StreamLoad {
    /// Streams at a time.
    pub streams: usize,
    /// Tokens of each answer.
    pub tokens: u32,
}

impl StreamLoad {
    /// Runs all streams to their ends.
    pub async fn run(self, fleet: &TestFleet) -> Vec<StreamReport> {
        let entries = fleet.callers();
        let client = CallerClient::default();
        let streams = (0..self.streams).map(|index| {
            let (client, entries) = (&client, &entries);
            async move { client.generate(entries, &self.query(index)).await }
        });
        futures::future::join_all(streams).await
    }

    /// Returns the request of one stream.
    pub fn query(self, index: usize) -> StreamQuery {
        StreamQuery {
            organisation: "dragons-sleeve".to_owned(),
            service: "patter-engine".to_owned(),
            prompt: format!("a script for trick {index}"),
            max_tokens: self.tokens,
        }
    }

    /// Checks that every caller got its own whole answer, no token lost or repeated.
    pub fn assert_whole(self, reports: &[StreamReport]) {
        assert_eq!(reports.len(), self.streams);
        for (index, report) in reports.iter().enumerate() {
            assert!(report.is_whole(), "{report:?}");
            let expected = response_text(&self.query(index).prompt, self.tokens);
            assert_eq!(report.text(), expected);
        }
    }
}
