//! Timeline of one request, joined from the log lines of several hosts.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Time before a request's first line within which events of its servers and hosts are included.
const SECONDS_BEFORE: f64 = 10.0;
/// Time after a request's last line within which events of its servers and hosts are included.
const SECONDS_AFTER: f64 = 2.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Events whose id is that of a server.
const SERVER_EVENTS: [&str; 3] = ["server", "server_rests", "server_limit"];
/// Events of a host that may explain how it handled a request.
const HOST_EVENTS: [&str; 14] = [
    "part_standing",
    "part_lifted",
    "dependency_lost",
    "dependency_regained",
    "table_in_force",
    "started",
    "signal",
    "stopping",
    "accepting_ended",
    "callers_drained",
    "requests_in_hand",
    "stopped",
    "lines_dropped",
    "servers_from_peer",
];

/// Log line of a host, with the name of its source.
#[derive(Debug, Clone, PartialEq)]
pub struct HostLogLine {
    /// Source of the line: the word before its JSON, or the name of its file.
    pub source: String,
    /// JSON fields of the line.
    pub fields: Map<String, Value>,
}

impl HostLogLine {
    /// Parses a log line, or returns `None` if it contains no JSON object.
    ///
    /// The last word before the first brace names the source; without one, `file` does.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade::operation::HostLogLine;
    ///
    /// let line = HostLogLine::parse("edge-1 {\"event\":\"started\"}", "").expect("a line");
    /// assert_eq!((line.source.as_str(), line.event()), ("edge-1", "started"));
    /// ```
    #[must_use]
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, _) = text.split_once('{')?;
        let fields = serde_json::from_str(&text[before.len()..]).ok()?;
        let source = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            fields,
        })
    }

    /// Returns the name of the logged event, or an empty string.
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

    /// Returns the time of day, in seconds.
    fn second(&self) -> f64 {
        let time = self.text("timestamp").split('T').nth(1).unwrap_or_default();
        let parts = time.trim_end_matches('Z').split(':');
        parts.fold(0.0, |sum, part| sum * 60.0 + part.parse().unwrap_or(0.0))
    }

    /// Returns the server whose state the line tells, if it does.
    ///
    /// A lost attempt of another request tells that the server ended.
    fn server(&self) -> Option<&str> {
        match self.event() {
            event if SERVER_EVENTS.contains(&event) => Some(self.text("id")),
            "lost_attempt" => Some(self.text("server")),
            _ => None,
        }
    }

    fn belongs_to(&self, id: &str) -> bool {
        let is_of_server = SERVER_EVENTS.contains(&self.event());
        let has_id = self.text("id") == id && !is_of_server;
        has_id || self.text("ids").split(' ').any(|summed_up| summed_up == id)
    }
}

/// Log lines that explain one request, from all hosts that handled it.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTimeline {
    /// Lines, sorted by time; lines with equal times keep their order.
    pub lines: Vec<HostLogLine>,
    /// Sources with lines of the request itself.
    pub hosts: BTreeSet<String>,
}

impl RequestTimeline {
    /// Joins the lines of the request with nearby events of its servers and hosts.
    #[must_use]
    pub fn join(id: &str, lines: &[HostLogLine]) -> Self {
        let request_lines: Vec<&HostLogLine> =
            lines.iter().filter(|line| line.belongs_to(id)).collect();
        let hosts: BTreeSet<String> = request_lines
            .iter()
            .map(|line| line.source.clone())
            .collect();
        let servers: BTreeSet<&str> = request_lines
            .iter()
            .map(|line| line.text("server"))
            .collect();
        let seconds: Vec<f64> = request_lines.iter().map(|line| line.second()).collect();
        let first = seconds.iter().copied().fold(f64::INFINITY, f64::min) - SECONDS_BEFORE;
        let last = seconds.iter().copied().fold(f64::NEG_INFINITY, f64::max) + SECONDS_AFTER;
        let is_near = |line: &HostLogLine| {
            let second = line.second();
            let next_day = second + SECONDS_PER_DAY;
            (first..=last).contains(&second) || (first..=last).contains(&next_day)
        };
        let is_included = |line: &&HostLogLine| {
            let of_server = line.server().is_some_and(|server| servers.contains(server));
            let of_host = hosts.contains(&line.source) && HOST_EVENTS.contains(&line.event());
            line.belongs_to(id) || ((of_server || of_host) && is_near(line))
        };
        let mut timeline: Vec<HostLogLine> = lines.iter().filter(is_included).cloned().collect();
        timeline.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
        Self {
            lines: timeline,
            hosts,
        }
    }

    /// Returns the timeline as text for people.
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
