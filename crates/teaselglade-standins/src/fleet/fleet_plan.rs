//! Data centres, backend servers and table of a fleet.

/// Backend server of a fleet plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedServer {
    /// Name of the host.
    pub name: String,
    /// Service that the server runs.
    pub service: String,
    /// Whether it is a plain server rather than an engine.
    pub is_plain: bool,
    /// Data centre of the host.
    pub zone: String,
    /// Hardware class of the host.
    pub class: String,
}

/// Data centres, backend servers and table of one fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetPlan {
    /// Name of the fleet.
    pub name: String,
    /// Data centres of the fleet.
    pub zones: Vec<String>,
    /// Backend servers.
    pub servers: Vec<PlannedServer>,
    /// Table of organisations and services, as comma-separated values.
    pub table: String,
}

const CORRIB_TABLE: &str = "\
kind,name,weight,requests_per_second,tokens_per_second,concurrency,first_token_ms,token_gap_ms,classes,zones,cents_per_hour,spend_cents_per_hour,idempotent,fenced,min_servers,cost_weight
organisation,halloran-dublin,4,200,,400,,,,,,,,,,0.8
organisation,halloran-galway,3,200,,400,,,,,,,,,,0.8
organisation,halloran-cork,2,100,,200,,,,,,,,,,0.8
organisation,claddagh-rings,1,50,,100,,,,,,,,,,0.8
organisation,ennis-heirlooms,1,50,,100,,,,,,,,,,0.8
model,draft-fleet,3,,,,360,47,old;mid;new,,600,6000,yes,yes,20,
plain,ticket-desk,1,,,,1000,,plain,,100,200,no,no,4,
";

const DRAGONS_TABLE: &str = "\
kind,name,weight,requests_per_second,tokens_per_second,concurrency,first_token_ms,token_gap_ms,classes,zones,cents_per_hour,spend_cents_per_hour,idempotent,fenced,min_servers,cost_weight
organisation,dragons-sleeve,4,200,,400,,,,,,,,,,0.3
organisation,card-and-coin,2,100,,200,,,,,,,,,,0.3
organisation,aberystwyth-magic,1,50,,100,,,,,,,,,,0.3
organisation,valley-performers,1,50,,100,,,,,,,,,,0.3
organisation,newport-conjurors,1,50,,100,,,,,,,,,,0.3
model,patter-engine,3,,,,360,47,old;mid;new,,600,4000,yes,no,12,
plain,till-desk,1,,,,1000,,plain,,100,200,no,no,4,
";

impl FleetPlan {
    /// Returns the plan for Corrib Bench Services.
    #[must_use]
    pub fn corrib() -> Self {
        let zones = ["galway", "limerick", "sligo", "ennis"];
        Self::build(
            "corrib",
            zones,
            ("draft-fleet", 20),
            ("ticket-desk", 4),
            CORRIB_TABLE,
        )
    }

    /// Returns the plan for Dragon's Sleeve Conjuring Supplies.
    #[must_use]
    pub fn dragons_sleeve() -> Self {
        let zones = ["cardiff-a", "cardiff-b", "newport", "swansea"];
        let (model_service, plain_service) = (("patter-engine", 12), ("till-desk", 4));
        Self::build(
            "dragons-sleeve",
            zones,
            model_service,
            plain_service,
            DRAGONS_TABLE,
        )
    }

    /// Returns the plan with this name, or `None` if the name is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_standins::fleet::FleetPlan;
    ///
    /// assert_eq!(FleetPlan::from_name("corrib").map(|plan| plan.servers.len()), Some(24));
    /// assert_eq!(FleetPlan::from_name("unknown"), None);
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "corrib" => Some(Self::corrib()),
            "dragons-sleeve" => Some(Self::dragons_sleeve()),
            _ => None,
        }
    }

    fn build(
        name: &str,
        zones: [&str; 4],
        model_service: (&str, usize),
        plain_service: (&str, usize),
        table: &str,
    ) -> Self {
        let classes = ["old", "mid", "new", "old"];
        let server = |service: &str, class: &str, plain: bool, index: usize| {
            let zone = zones[index % zones.len()];
            PlannedServer {
                name: format!("{zone}-{service}-{index}"),
                service: service.to_owned(),
                is_plain: plain,
                zone: zone.to_owned(),
                class: class.to_owned(),
            }
        };
        let model_server_class = |index: usize| classes[(index / zones.len()) % classes.len()];
        let model_servers = (0..model_service.1)
            .map(|index| server(model_service.0, model_server_class(index), false, index));
        let plain_servers =
            (0..plain_service.1).map(|index| server(plain_service.0, "plain", true, index));
        Self {
            name: name.to_owned(),
            zones: zones.map(str::to_owned).to_vec(),
            servers: model_servers.chain(plain_servers).collect(),
            table: table.to_owned(),
        }
    }
}
