//! One call with an idempotency key, as the shard's machine carries it.

mod booked_call;
mod booking_answer;
mod booking_phase;

pub use booked_call::{BookedCall, BookingKey};
pub use booking_answer::{BookingAnswer, BookingResult};
pub(crate) use booking_phase::{Booking, BookingPhase, ClaimSend};
