//! Runs one of the programs to its end.

use std::process::Command;

/// What a program printed and how it ended.
#[derive(Debug)]
pub struct ToolRun {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl ToolRun {
    /// Runs a program; `COLUMNS` fixes the width of its help.
    pub fn of(program: &str, arguments: &[&str]) -> Self {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("COLUMNS", "100")
            .env_remove("USER");
        let output = command.output().expect("the program runs");
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Runs the operators' tool.
    pub fn tool(arguments: &[&str]) -> Self {
        Self::of(env!("CARGO_BIN_EXE_teaselglade"), arguments)
    }

    /// Returns everything as one text for a snapshot; `folder` is left out of it.
    pub fn snapshot(&self, folder: &str) -> String {
        let text = format!("code {:?}\n{}{}", self.code, self.stdout, self.stderr);
        text.replace(folder, "FOLDER")
    }
}
