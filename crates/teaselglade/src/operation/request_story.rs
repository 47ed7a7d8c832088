//! Joins the log lines of hosts that tell what happened to one request.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Seconds before a request's first line in which events of its servers and host count.
const LEAD_SECONDS: f64 = 10.0;
/// Seconds behind a request's last line in which events of its servers count.
const TAIL_SECONDS: f64 = 2.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Events of a host that may explain what it did with a request.
const HOST_EVENTS: [&str; 6] = [
    "dependency_lost",
    "dependency_regained",
    "table_in_force",
    "started",
    "stopping",
    "servers_from_peer",
];

/// One log line of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostLine {
    /// Where the line comes from: its file, or what stands before it.
    pub source: String,
    /// Fields of the line.
    pub fields: Map<String, Value>,
}

impl HostLine {
    /// Parses a line; what stands before the first brace names its source where `file` does not.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade::operation::HostLine;
    ///
    /// let line = HostLine::parse("edge-1 {\"event\":\"started\"}", "").expect("a line");
    /// assert_eq!((line.source.as_str(), line.event()), ("edge-1", "started"));
    /// ```
    #[must_use]
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, _) = text.split_once('{')?;
        let fields = serde_json::from_str(&text[before.len()..]).ok()?;
        let named = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: named.to_owned(),
            fields,
        })
    }

    /// Returns what the line tells of.
    #[must_use]
    pub fn event(&self) -> &str {
        self.text("event")
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the second of the day.
    fn second(&self) -> f64 {
        let time = self.text("timestamp").split('T').nth(1).unwrap_or_default();
        let parts = time.trim_end_matches('Z').split(':');
        parts.fold(0.0, |sum, part| sum * 60.0 + part.parse().unwrap_or(0.0))
    }

    fn is_of(&self, id: &str) -> bool {
        let is_named = self.text("id") == id && self.event() != "server";
        is_named || self.text("ids").split(' ').any(|named| named == id)
    }
}

/// What the logs of hosts tell of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestStory {
    /// Lines in the order of their times; those of one host keep their order.
    pub lines: Vec<HostLine>,
    /// Hosts that wrote of the request.
    pub hosts: BTreeSet<String>,
}

impl RequestStory {
    /// Joins the lines of the request with those of its servers and hosts.
    #[must_use]
    pub fn join(id: &str, lines: &[HostLine]) -> Self {
        let own: Vec<&HostLine> = lines.iter().filter(|line| line.is_of(id)).collect();
        let hosts: BTreeSet<String> = own.iter().map(|line| line.source.clone()).collect();
        let servers: BTreeSet<&str> = own.iter().map(|line| line.text("server")).collect();
        let seconds: Vec<f64> = own.iter().map(|line| line.second()).collect();
        let first = seconds.iter().copied().fold(f64::INFINITY, f64::min) - LEAD_SECONDS;
        let last = seconds.iter().copied().fold(f64::NEG_INFINITY, f64::max) + TAIL_SECONDS;
        let is_near = |line: &HostLine| {
            let second = line.second();
            let next_day = second + SECONDS_PER_DAY;
            (first..=last).contains(&second) || (first..=last).contains(&next_day)
        };
        let tells = |line: &&HostLine| {
            let of_server = line.event() == "server" && servers.contains(line.text("id"));
            let of_host = hosts.contains(&line.source) && HOST_EVENTS.contains(&line.event());
            line.is_of(id) || ((of_server || of_host) && is_near(line))
        };
        let mut story: Vec<HostLine> = lines.iter().filter(tells).cloned().collect();
        story.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
        Self {
            lines: story,
            hosts,
        }
    }

    /// Returns the story for a person.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let fields = line
                .fields
                .iter()
                .filter(|(name, _)| !["timestamp", "level", "event"].contains(&name.as_str()));
            let fields = fields.map(|(name, value)| match value {
                Value::String(value) => format!(" {name}={value}"),
                other => format!(" {name}={other}"),
            });
            let fields: String = fields.collect();
            let time = line.text("timestamp");
            text.extend([time, " ", &line.source, " ", line.event(), &fields, "\n"]);
        }
        if self.hosts.len() > 1 {
            text.push_str("Several hosts wrote of the request; their clocks may differ.\n");
        }
        text
    }
}
