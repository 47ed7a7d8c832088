//! Model requests: from admission to the end of the stream.

mod stream_record;
mod stream_register;
mod stream_task;

pub(crate) use stream_record::{StreamEnd, StreamOrder, StreamRecord, StreamStep};
pub(crate) use stream_register::StreamRegister;
pub(crate) use stream_task::start_stream;
