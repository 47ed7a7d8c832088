//! Streams of model requests, from admission to the end of the response.

mod attempt_reader;
mod model_request;
mod running_attempts;
mod stream_buffer;
mod stream_command;
mod stream_reader;
mod stream_registry;
mod stream_task;

pub(crate) use model_request::ModelRequest;
pub(crate) use stream_buffer::{StreamBuffer, StreamEnd, StreamStep};
pub(crate) use stream_command::{CommandSender, StreamCommand};
pub(crate) use stream_reader::StreamReader;
pub(crate) use stream_registry::StreamRegistry;
pub(crate) use stream_task::{resume_stream, start_stream};
