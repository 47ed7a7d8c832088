//! Options of the `where` command.

use std::net::SocketAddr;

use clap::Args;

/// Options of `where`.
#[derive(Debug, Args)]
pub struct WhereOptions {
    /// Host name in the request.
    pub name: String,
    /// Path of the request.
    pub path: String,
    /// Address of the host's metrics, such as 10.1.0.14:9464.
    #[arg(long)]
    pub admin: SocketAddr,
    /// Name or API key of the organisation.
    #[arg(long)]
    pub organisation: Option<String>,
    /// Service, where the route spreads over several.
    #[arg(long)]
    pub service: Option<String>,
    /// Tokens of the prompt and of the answer, such as 1460,80.
    #[arg(long, value_parser = parse_tokens)]
    pub tokens: Option<(u32, u32)>,
    /// Prefix parts of the prompt with their tokens, such as 5c1e07a2:800,91bd3f06:410.
    #[arg(long, value_delimiter = ',', value_parser = parse_part, requires = "tokens")]
    pub parts: Vec<(u64, u32)>,
    /// Number of bytes in the body.
    #[arg(long, default_value_t = 0)]
    pub body_bytes: usize,
}

/// Parses the tokens of a prompt and of its answer.
fn parse_tokens(text: &str) -> Result<(u32, u32), String> {
    let expected = || "expected two numbers, as in 1460,80".to_owned();
    let (prompt, output) = text.split_once(',').ok_or_else(expected)?;
    let number = |text: &str| text.trim().parse().map_err(|_invalid| expected());
    Ok((number(prompt)?, number(output)?))
}

/// Parses a prefix part: its id in hexadecimal and its tokens.
fn parse_part(text: &str) -> Result<(u64, u32), String> {
    let expected = || "expected an id in hexadecimal and its tokens, as in 5c1e07a2:800".to_owned();
    let (id, tokens) = text.split_once(':').ok_or_else(expected)?;
    let id = u64::from_str_radix(id.trim(), 16).map_err(|_invalid| expected())?;
    let tokens = tokens.trim().parse().map_err(|_invalid| expected())?;
    Ok((id, tokens))
}
