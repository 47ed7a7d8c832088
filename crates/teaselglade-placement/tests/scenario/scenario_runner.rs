//! Runner of placement scenarios, with these verbs:
//!
//! - `server NAME class= cents= [reclaimable=]`: adds a server
//! - `request NAME prompt= answer= [weight=] [conversation=]`: places and dispatches a request
//! - `first NAME`: its attempt returns the first token
//! - `end NAME`: its attempt ends
//! - `report NAME running= gap=`: a load report arrives; the gap is in milliseconds
//! - `notice NAME`: the reclaim of a server's host is announced
//! - `gone NAME`: a server is gone

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::{
    AttemptId, ClassKey, NameArena, OrganisationKey, RequestId, ServerKey, ServiceKey, ZoneKey,
};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::policy::{PlacementEvent, PlacementQuery, ServerPlacer};
use teaselglade_placement::server::ServerAttributes;
use teaselglade_placement::subset::rendezvous_weight;
use teaselglade_scenario::{Result, ScenarioStep};

const SERVICE: ServiceKey = ServiceKey::new(0);
const START: Timestamp = Timestamp::from_millis(1_000);
const BLOCK_TOKENS: u32 = 32;

pub(crate) struct ScenarioRunner {
    placer: ServerPlacer,
    servers: HashMap<String, ServerKey>,
    names: NameArena,
    classes: NameArena,
    requests: NameArena,
    trace: String,
}

impl Default for ScenarioRunner {
    fn default() -> Self {
        let policy = CostPolicy::new(CostOptions::default());
        Self {
            placer: ServerPlacer::new(Box::new(policy)),
            servers: HashMap::new(),
            names: NameArena::default(),
            classes: NameArena::default(),
            requests: NameArena::default(),
            trace: String::new(),
        }
    }
}

impl ScenarioRunner {
    pub(crate) fn run_step(&mut self, step: &ScenarioStep) -> Result<()> {
        let now = START + step.at;
        match step.verb.as_str() {
            "server" => self.add_server(step),
            "request" => self.place_request(now, step),
            "first" => {
                let attempt = self.attempt(step)?;
                self.placer
                    .observe(now, &PlacementEvent::FirstToken { attempt });
                Ok(())
            }
            "end" => {
                let attempt = self.attempt(step)?;
                self.placer.observe(now, &PlacementEvent::Ended { attempt });
                Ok(())
            }
            "report" => self.report(now, step),
            "notice" => {
                let (server, deadline) = (self.server(step)?, now + Duration::from_secs(10));
                self.placer
                    .observe(now, &PlacementEvent::ReclaimNoticed { server, deadline });
                Ok(())
            }
            "gone" => {
                let server = self.server(step)?;
                self.placer.observe(now, &PlacementEvent::Gone { server });
                Ok(())
            }
            other => Err(step.fault(format!("unknown verb `{other}`"))),
        }
    }

    pub(crate) fn trace(&self) -> &str {
        &self.trace
    }

    fn add_server(&mut self, step: &ScenarioStep) -> Result<()> {
        let name = step.word(0)?;
        let class = self.classes.intern(&step.value::<String>("class")?);
        let key = self.placer.add(ServerAttributes {
            service: SERVICE,
            class: ClassKey::new(class as u16),
            zone: ZoneKey::new(0),
            cents_per_hour: step.value("cents")?,
            reclaimable: step.opt_value("reclaimable")?.unwrap_or(true),
        });
        self.names.intern(name);
        self.servers.insert(name.to_owned(), key);
        Ok(())
    }

    fn place_request(&mut self, now: Timestamp, step: &ScenarioStep) -> Result<()> {
        let prompt_tokens = step.value("prompt")?;
        let conversation = step
            .opt_value::<String>("conversation")?
            .unwrap_or_default();
        let query = PlacementQuery::new(SERVICE, OrganisationKey::new(0))
            .prompt(prompt_tokens, prefix(&conversation, prompt_tokens))
            .answer_tokens(step.value("answer")?)
            .targets(Duration::from_millis(360), Some(Duration::from_millis(47)))
            .cost_weight(step.opt_value("weight")?.unwrap_or(0.5));
        let attempt = self.attempt(step)?;
        let outcome = match self.placer.place(now, &query) {
            Ok(placement) => {
                let dispatched = PlacementEvent::Dispatched {
                    attempt,
                    server: placement.server,
                    prefix: query.prefix,
                    prompt_tokens,
                };
                self.placer.observe(now, &dispatched);
                let name = self.names.name(placement.server.index()).unwrap_or("?");
                let cached = placement.cached_tokens;
                format!(
                    "on {name}, {cached} tokens cached, {:?}",
                    placement.latency_forecast
                )
            }
            Err(refusal) => format!("{:?}: {refusal}", refusal.verdict),
        };
        let name = step.word(0)?;
        writeln!(self.trace, "{:>7?} {name}: {outcome}", step.at)
            .map_err(|error| step.fault(error.to_string()))
    }

    fn report(&mut self, now: Timestamp, step: &ScenarioStep) -> Result<()> {
        let server = self.server(step)?;
        let gap_millis = step.value::<u64>("gap")?;
        let report = ServerReport {
            running: step.value("running")?,
            waiting: 0,
            tokens_per_second: 0.0,
            token_gap_micros: gap_millis * 1_000,
            prefill_tokens_per_second: 0.0,
            kv_free: 1.0,
        };
        self.placer
            .observe(now, &PlacementEvent::Reported { server, report });
        Ok(())
    }

    fn attempt(&mut self, step: &ScenarioStep) -> Result<AttemptId> {
        let index = self.requests.intern(step.word(0)?);
        Ok(AttemptId::first(RequestId::from_bits(index as u128)))
    }

    fn server(&self, step: &ScenarioStep) -> Result<ServerKey> {
        let name = step.word(0)?;
        let key = self.servers.get(name).copied();
        key.ok_or_else(|| step.fault(format!("no server `{name}`")))
    }
}

fn prefix(conversation: &str, tokens: u32) -> Arc<[u64]> {
    if conversation.is_empty() {
        return Arc::default();
    }
    let blocks = 0..tokens / BLOCK_TOKENS;
    blocks
        .map(|block| rendezvous_weight(conversation, &block.to_string()))
        .collect()
}
