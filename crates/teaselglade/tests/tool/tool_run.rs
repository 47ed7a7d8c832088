//! Runs one of the programs and collects its output.

use std::process::Command;

/// Output and exit code of a program.
#[derive(Debug)]
pub struct ToolRun {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl ToolRun {
    /// Runs a program to its end.
    ///
    /// `COLUMNS` fixes the width of the help text; without `USER` there is no default author.
    pub fn run_program(program: &str, arguments: &[&str]) -> Self {
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
        Self::run_program(env!("CARGO_BIN_EXE_teaselglade"), arguments)
    }

    /// Returns exit code and output as one text, with `folder` replaced by `FOLDER`.
    pub fn snapshot(&self, folder: &str) -> String {
        let text = format!("code {:?}\n{}{}", self.code, self.stdout, self.stderr);
        text.replace(folder, "FOLDER")
    }
}
