//! Lasting speed and pace of the moment of servers whose machines differ or are shared.

mod lasting_speed;
mod moment_pace;
mod server_pace;
mod speed_ledger;
mod speed_report;

pub use lasting_speed::LastingSpeed;
pub use moment_pace::MomentPace;
pub use server_pace::ServerPace;
pub use speed_ledger::{SpeedEvidence, SpeedLedger, TimeSample};
pub use speed_report::{SpeedNotice, SpeedReport};
