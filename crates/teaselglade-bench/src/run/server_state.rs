//! State of one server of a run.

use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};
use teaselglade_placement::server::ServerAttributes;

use super::billing_meter::BillingMeter;
use crate::engine::EngineModel;
use crate::plan::{FleetPlan, ServerPlan};

pub(super) const SERVICE: ServiceKey = ServiceKey::new(0);

/// State of one server of a run.
#[derive(Debug, Clone)]
pub(super) struct ServerState {
    pub(super) plan: ServerPlan,
    pub(super) engine: EngineModel,
    pub(super) meter: BillingMeter,
    pub(super) is_stepping: bool,
    pub(super) is_up: bool,
}

impl ServerState {
    pub(super) fn new(fleet: &FleetPlan, plan: ServerPlan, slowdown: f64) -> Self {
        let class = fleet.classes[plan.class].clone().slowed_by(slowdown);
        Self {
            plan,
            engine: EngineModel::new(class),
            meter: BillingMeter::default(),
            is_stepping: false,
            is_up: true,
        }
    }

    pub(super) fn attributes(&self) -> ServerAttributes {
        ServerAttributes {
            service: SERVICE,
            class: ClassKey::new(self.plan.class as u16),
            zone: ZoneKey::new(self.plan.zone as u16),
            cents_per_hour: self.plan.cents_per_hour,
            reclaimable: self.plan.reclaimable,
        }
    }
}
