//! Host offers and engine profiles in the settings.

use teaselglade_core::port::HostPurchase;
use teaselglade_settings::SettingsObject;
use teaselglade_state::control::{EngineProfile, HostOffer, RoleShare};

pub(super) fn read_offer(offer: &SettingsObject<'_>) -> HostOffer {
    HostOffer {
        zone: offer.string("zone"),
        class: offer.string("class"),
        purchase: read_purchase(offer),
        cents_per_hour: read_price(offer),
    }
}

pub(super) fn read_profile(profile: &SettingsObject<'_>) -> EngineProfile {
    let service = profile.string("service");
    let model = profile.opt_string("model");
    EngineProfile {
        model: model.unwrap_or_else(|| service.clone()),
        service,
        adapters: profile.strings("adapters"),
        roles: profile.objects("roles", |share| RoleShare {
            role: share.string("role"),
            servers: share.number("servers") as usize,
        }),
        default_role: profile.opt_string("other_role"),
    }
}

fn read_purchase(offer: &SettingsObject<'_>) -> HostPurchase {
    match offer.string("purchase").as_str() {
        "reclaimable" => HostPurchase::Reclaimable,
        "on_demand" => HostPurchase::OnDemand,
        _ => {
            offer.reject("purchase", "expected `reclaimable` or `on_demand`");
            HostPurchase::Reclaimable
        }
    }
}

fn read_price(offer: &SettingsObject<'_>) -> f64 {
    let price = offer.opt_float("cents_per_hour");
    let price = price.filter(|cents| cents.is_finite() && *cents > 0.0);
    if price.is_none() {
        offer.reject("cents_per_hour", "expected a price above 0");
    }
    price.unwrap_or_default()
}
