//! What runs in each user's fleet.

/// One planned backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedServer {
    /// Name of the host.
    pub name: String,
    /// Service of the server.
    pub service: String,
    /// Whether the server is a plain one.
    pub plain: bool,
    /// Zone of the host.
    pub zone: String,
    /// Hardware class of the host.
    pub class: String,
}

/// What runs in one user's fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetPlan {
    /// Name of the fleet.
    pub name: String,
    /// Data centres of the fleet.
    pub zones: Vec<String>,
    /// Backend servers.
    pub servers: Vec<PlannedServer>,
    /// Table in comma-separated values.
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
    /// Returns the plan of Corrib Bench Services.
    #[must_use]
    pub fn corrib() -> Self {
        let zones = ["galway", "limerick", "sligo", "ennis"];
        Self::planned(
            "corrib",
            zones,
            ("draft-fleet", 20),
            ("ticket-desk", 4),
            CORRIB_TABLE,
        )
    }

    /// Returns the plan of Dragon's Sleeve Conjuring Supplies.
    #[must_use]
    pub fn dragons_sleeve() -> Self {
        let zones = ["cardiff-a", "cardiff-b", "newport", "swansea"];
        let (model, plain) = (("patter-engine", 12), ("till-desk", 4));
        Self::planned("dragons-sleeve", zones, model, plain, DRAGONS_TABLE)
    }

    /// Returns the plan with this name.
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

    fn planned(
        name: &str,
        zones: [&str; 4],
        model: (&str, usize),
        plain: (&str, usize),
        table: &str,
    ) -> Self {
        let classes = ["old", "mid", "new", "old"];
        let server = |service: &str, class: &str, is_plain: bool, index: usize| {
            let zone = zones[index % zones.len()];
            PlannedServer {
                name: format!("{zone}-{service}-{index}"),
                service: service.to_owned(),
                plain: is_plain,
                zone: zone.to_owned(),
                class: class.to_owned(),
            }
        };
        let model_class = |index: usize| classes[(index / zones.len()) % classes.len()];
        let models = (0..model.1).map(|index| server(model.0, model_class(index), false, index));
        let plains = (0..plain.1).map(|index| server(plain.0, "plain", true, index));
        Self {
            name: name.to_owned(),
            zones: zones.map(str::to_owned).to_vec(),
            servers: models.chain(plains).collect(),
            table: table.to_owned(),
        }
    }
}
