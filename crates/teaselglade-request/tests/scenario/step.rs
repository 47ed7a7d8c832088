//! Conversion of scenario steps into faults.

use teaselglade_request::retry::BudgetLimits;
use teaselglade_scenario::{Result, ScenarioStep};

use crate::support::{Fault, FleetSetup};

/// Parses `fleet hosts=N engines=N callers=N tokens=N reserve=N`.
pub fn parse_setup(step: &ScenarioStep) -> Result<FleetSetup> {
    let setup = FleetSetup::default();
    let reserve = step.opt_value("reserve")?.unwrap_or(setup.budget.reserve);
    Ok(FleetSetup {
        hosts: step.opt_value("hosts")?.unwrap_or(setup.hosts),
        engines: step.opt_value("engines")?.unwrap_or(setup.engines),
        callers: step.opt_value("callers")?.unwrap_or(setup.callers),
        response_tokens: step.opt_value("tokens")?.unwrap_or(setup.response_tokens),
        budget: BudgetLimits {
            reserve,
            ..setup.budget
        },
        ..setup
    })
}

/// Parses a fault from its verb, its target and its duration or count.
pub fn parse_fault(step: &ScenarioStep) -> Result<Fault> {
    let target = step.word(0)?;
    let target = target
        .parse::<usize>()
        .map_err(|error| step.fault(error.to_string()))?;
    let millis = || {
        let duration = step.opt_duration("for")?;
        let duration = duration.ok_or_else(|| step.fault("`for=` is missing"))?;
        Ok(duration.as_millis() as u64)
    };
    Ok(match step.verb.as_str() {
        "reclaim" => Fault::Leave {
            engine: target,
            notice_ms: millis()?,
        },
        "kill" => Fault::Kill { engine: target },
        "replace" => Fault::Replace { engine: target },
        "freeze" => Fault::Freeze { engine: target },
        "thaw" => Fault::Thaw { engine: target },
        "silence" => Fault::Silence { engine: target },
        "cut" => Fault::Cut { engine: target },
        "refuse-kv" => Fault::RefuseKv { engine: target },
        "duplicate" => Fault::Duplicate { engine: target },
        "lose" => Fault::Lose { engine: target },
        "delay" => Fault::Delay { engine: target },
        "misroute" => Fault::Misroute { engine: target },
        "reclaim-host" => Fault::HostLeave {
            host: target,
            notice_ms: millis()?,
        },
        "crash-host" => Fault::HostCrash { host: target },
        "pause-host" => Fault::HostPause {
            host: target,
            pause_ms: millis()?,
        },
        "lose-replies" => Fault::LoseReplies {
            host: target,
            count: step.value("count")?,
        },
        "drop-caller" => Fault::DropCaller { caller: target },
        _ => return Err(step.fault("unknown verb")),
    })
}
