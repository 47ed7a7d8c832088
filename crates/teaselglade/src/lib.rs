//! Operators' tool, daemon programs, demo and client of the public API.

pub mod caller;
pub mod command;
pub mod command_line;
pub mod demo;
pub mod operation;
pub mod output;
pub mod program;
