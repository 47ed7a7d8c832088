//! Callers of the demo.

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
use crate::caller::{CallerClient, StreamQuery};

const FEWEST_TOKENS: u32 = 20;
const MOST_TOKENS: u32 = 90;
const SUBJECTS: u32 = 40;
const SHARED_WORDS: u32 = 96;
const BOOKING_EVERY: u64 = 5;

/// Callers of the demo: they send requests at a steady rate and count what comes back.
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
    /// Makes the callers; none where the table lacks a service of either kind.
    pub(super) fn new(
        entries: Vec<SocketAddr>,
        table: RoutingTable,
        tally: Arc<Mutex<DemoTally>>,
        seed: u64,
    ) -> Option<Self> {
        let of_kind = |kind: ServiceKind| table.services.iter().find(|row| row.kind == kind);
        Some(Self {
            model: of_kind(ServiceKind::Model)?.clone(),
            plain: of_kind(ServiceKind::Plain)?.clone(),
            organisations: table.organisations,
            entries,
            client: Arc::new(CallerClient::default()),
            tally,
            random: Pcg64Mcg::seed_from_u64(seed),
        })
    }

    /// Sends requests for `duration` and waits for every answer.
    pub(super) async fn run(mut self, rate: f64, duration: Duration) {
        let started = Instant::now();
        let mut calls = JoinSet::new();
        let mut number = 0;
        loop {
            let due = Duration::from_secs_f64(number as f64 / rate);
            if due >= duration {
                break;
            }
            sleep_until(started + due).await;
            self.send_stream(&mut calls);
            if number % BOOKING_EVERY == 0 {
                self.send_booking(&mut calls);
            }
            number += 1;
        }
        while calls.join_next().await.is_some() {}
    }

    fn send_stream(&mut self, calls: &mut JoinSet<()>) {
        let query = self.next_query();
        let entries = self.turned_entries();
        let (client, tally) = (Arc::clone(&self.client), Arc::clone(&self.tally));
        let row = self.model.clone();
        note(&self.tally, DemoTally::note_sent);
        calls.spawn(async move {
            let report = client.generate(&entries, &query).await;
            let expected = response_text(&query.prompt, query.max_tokens);
            note(&tally, |tally| tally.note_stream(&report, &expected, &row));
        });
    }

    fn send_booking(&mut self, calls: &mut JoinSet<()>) {
        let organisation = self.next_organisation();
        let entry = self.turned_entries()[0];
        let (client, tally) = (Arc::clone(&self.client), Arc::clone(&self.tally));
        let service = self.plain.name.clone();
        let key = Uuid::now_v7().to_string();
        note(&self.tally, DemoTally::note_sent);
        calls.spawn(async move {
            let body = format!("deposit {key}");
            let report = client
                .call_plain(entry, &organisation, &service, Some(&key), body)
                .await;
            note(&tally, |tally| tally.note_booking(&report, &key));
        });
    }

    fn next_query(&mut self) -> StreamQuery {
        let subject = self.random.random_range(0..SUBJECTS);
        let shared = (0..SHARED_WORDS).map(|word| format!("s{subject}w{word} "));
        let detail = self.random.random::<u32>();
        StreamQuery {
            organisation: self.next_organisation(),
            service: self.model.name.clone(),
            prompt: shared.chain([format!("detail {detail}")]).collect(),
            max_tokens: self.random.random_range(FEWEST_TOKENS..=MOST_TOKENS),
        }
    }

    /// Draws an organisation; large ones send more.
    fn next_organisation(&mut self) -> String {
        let total = self.organisations.iter().map(|row| row.weight).sum::<f64>();
        let mut place = self.random.random::<f64>() * total;
        for row in &self.organisations {
            place -= row.weight;
            if place <= 0.0 {
                return row.name.clone();
            }
        }
        self.organisations[0].name.clone()
    }

    fn turned_entries(&mut self) -> Vec<SocketAddr> {
        let mut entries = self.entries.clone();
        entries.rotate_left(self.random.random_range(0..self.entries.len()));
        entries
    }
}

pub(super) fn note<T>(tally: &Mutex<DemoTally>, change: impl FnOnce(&mut DemoTally) -> T) -> T {
    change(&mut tally.lock().unwrap_or_else(PoisonError::into_inner))
}
