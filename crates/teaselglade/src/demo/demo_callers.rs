//! Generates the requests of the demo.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::table::{OrganisationRow, RoutingTable, ServiceKind, ServiceRow};
use teaselglade_standins::engine::response_text;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;

use super::demo_tally::DemoTally;
use crate::caller::{CallerClient, StreamRequest};

const MIN_TOKENS: u32 = 20;
const MAX_TOKENS: u32 = 90;
/// Number of distinct prompt prefixes.
const PROMPT_PREFIXES: u32 = 40;
/// Words of a prefix, which all prompts with that prefix share.
const PREFIX_WORDS: u32 = 96;
/// Number of streams per keyed call.
const STREAMS_PER_KEYED_CALL: u64 = 5;

/// Sends requests at a steady rate and counts their results.
#[derive(Debug)]
pub(super) struct DemoCallers {
    entries: Vec<SocketAddr>,
    organisations: Vec<OrganisationRow>,
    model: ServiceRow,
    plain: ServiceRow,
    client: Arc<CallerClient>,
    tally: Arc<Mutex<DemoTally>>,
    random: Pcg64Mcg,
}

impl DemoCallers {
    /// Creates the callers, or returns `None` if the table lacks a model or a plain service.
    pub(super) fn new(
        entries: Vec<SocketAddr>,
        table: RoutingTable,
        tally: Arc<Mutex<DemoTally>>,
        seed: u64,
    ) -> Option<Self> {
        let first_of_kind = |kind: ServiceKind| table.services.iter().find(|row| row.kind == kind);
        Some(Self {
            model: first_of_kind(ServiceKind::Model)?.clone(),
            plain: first_of_kind(ServiceKind::Plain)?.clone(),
            organisations: table.organisations,
            entries,
            client: Arc::new(CallerClient::default()),
            tally,
            random: Pcg64Mcg::seed_from_u64(seed),
        })
    }

    /// Sends `rate` streams per second for `duration`, and keyed calls with them.
    ///
    /// Returns once every request has a result.
    pub(super) async fn run(mut self, rate: f64, duration: Duration) {
        let started = Instant::now();
        let mut calls = JoinSet::new();
        let mut stream_count = 0;
        loop {
            let send_at = Duration::from_secs_f64(stream_count as f64 / rate);
            if send_at >= duration {
                break;
            }
            sleep_until(started + send_at).await;
            self.send_stream(&mut calls);
            if stream_count % STREAMS_PER_KEYED_CALL == 0 {
                self.send_keyed_call(&mut calls);
            }
            stream_count += 1;
        }
        while calls.join_next().await.is_some() {}
    }

    fn send_stream(&mut self, calls: &mut JoinSet<()>) {
        let request = self.next_request();
        let entries = self.rotated_entries();
        let (client, tally) = (Arc::clone(&self.client), Arc::clone(&self.tally));
        let service = self.model.clone();
        update_tally(&self.tally, DemoTally::record_sent);
        calls.spawn(async move {
            let report = client.generate(&entries, &request).await;
            let expected = response_text(&request.prompt, request.max_tokens);
            update_tally(&tally, |tally| {
                tally.record_stream(&report, &expected, &service);
            });
        });
    }

    fn send_keyed_call(&mut self, calls: &mut JoinSet<()>) {
        let organisation = self.next_organisation();
        let entry = self.rotated_entries()[0];
        let (client, tally) = (Arc::clone(&self.client), Arc::clone(&self.tally));
        let service = self.plain.name.clone();
        let key = Uuid::now_v7().to_string();
        update_tally(&self.tally, DemoTally::record_sent);
        calls.spawn(async move {
            let body = format!("deposit {key}");
            let report = client
                .call_plain(entry, &organisation, &service, Some(&key), body)
                .await;
            update_tally(&tally, |tally| tally.record_keyed_call(&report, &key));
        });
    }

    fn next_request(&mut self) -> StreamRequest {
        let prefix = self.random.random_range(0..PROMPT_PREFIXES);
        let prefix_words = (0..PREFIX_WORDS).map(|word| format!("s{prefix}w{word} "));
        let detail = self.random.random::<u32>();
        StreamRequest {
            organisation: self.next_organisation(),
            service: self.model.name.clone(),
            prompt: prefix_words.chain([format!("detail {detail}")]).collect(),
            max_tokens: self.random.random_range(MIN_TOKENS..=MAX_TOKENS),
        }
    }

    /// Draws an organisation with a probability in proportion to its weight.
    fn next_organisation(&mut self) -> String {
        let total_weight = self.organisations.iter().map(|row| row.weight).sum::<f64>();
        let mut remaining_weight = self.random.random::<f64>() * total_weight;
        for row in &self.organisations {
            remaining_weight -= row.weight;
            if remaining_weight <= 0.0 {
                return row.name.clone();
            }
        }
        self.organisations[0].name.clone()
    }

    /// Returns the entry hosts in order, from a random one on.
    fn rotated_entries(&mut self) -> Vec<SocketAddr> {
        let mut entries = self.entries.clone();
        entries.rotate_left(self.random.random_range(0..self.entries.len()));
        entries
    }
}

pub(super) fn update_tally<T>(
    tally: &Mutex<DemoTally>,
    change: impl FnOnce(&mut DemoTally) -> T,
) -> T {
    change(&mut tally.lock().unwrap_or_else(PoisonError::into_inner))
}
