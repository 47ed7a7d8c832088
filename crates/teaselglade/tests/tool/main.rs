//! Tests of the operators' tool and of the daemons' command lines.

mod daemon_settings;
mod explain;
mod table_commands;
mod tool_help;
mod tool_run;
