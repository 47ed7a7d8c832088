//! Model requests: from admission to the end of the stream.

mod attempt_reader;
mod reader_seat;
mod running_attempts;
mod stream_buffer;
mod stream_command;
mod stream_order;
mod stream_register;
mod stream_task;

pub(crate) use reader_seat::ReaderSeat;
pub(crate) use stream_buffer::{StreamBuffer, StreamEnd, StreamStep};
pub(crate) use stream_command::{CommandSender, StreamCommand};
pub(crate) use stream_order::StreamOrder;
pub(crate) use stream_register::StreamRegister;
pub(crate) use stream_task::{resume_stream, start_stream};
