//! Context of a subcommand: the output, its format, and the daemon's address.

use std::fmt;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use clap::ArgMatches;
use serde::Serialize;
use snafu::ResultExt;

use super::error::{CommandError, OutputSnafu, ReadSnafu};
use super::{DEFAULT_SERVER, ExitStatus};

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON document, or one per line in `watch`.
    Json,
}

/// Output and daemon address of one run.
pub struct Context<'a> {
    /// Output format.
    pub format: Format,
    /// Address of the operators' API.
    pub server: SocketAddr,
    out: Box<dyn Write + 'a>,
}

impl fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("format", &self.format)
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl<'a> Context<'a> {
    /// Creates a context from the global arguments.
    pub(super) fn new<W>(matches: &ArgMatches, out: W) -> Self
    where
        W: Write + 'a,
    {
        let json = matches
            .get_one::<String>("output")
            .is_some_and(|o| o == "json");
        let fallback = || {
            DEFAULT_SERVER
                .parse()
                .unwrap_or((Ipv4Addr::LOCALHOST, 9090).into())
        };
        Self {
            format: if json { Format::Json } else { Format::Text },
            server: matches.get_one("server").copied().unwrap_or_else(fallback),
            out: Box::new(out),
        }
    }

    /// Prints a result as JSON or as text, followed by a line break.
    pub(super) fn print<T>(&mut self, result: &T) -> Result<(), CommandError>
    where
        T: Serialize + fmt::Display,
    {
        match self.format {
            Format::Text => writeln!(self.out, "{result}"),
            Format::Json => serde_json::to_writer(&mut self.out, result)
                .map_err(io::Error::from)
                .and_then(|()| writeln!(self.out)),
        }
        .and_then(|()| self.out.flush())
        .context(OutputSnafu)
    }

    /// Writes bytes unchanged, in both output formats.
    pub(super) fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), CommandError> {
        self.out
            .write_all(bytes)
            .and_then(|()| self.out.flush())
            .context(OutputSnafu)
    }

    /// Prints an error to standard error and returns its exit code.
    pub(super) fn report_error(&self, error: &CommandError) -> ExitStatus {
        let line = match self.format {
            Format::Text => format!("trefoilctl: {error}"),
            Format::Json => serde_json::json!({ "error": error.to_string() }).to_string(),
        };
        let exit = error.exit_status();
        if exit != ExitStatus::Done {
            // An error of this write cannot be reported anywhere.
            drop(writeln!(io::stderr(), "{line}"));
        }
        exit
    }
}

/// Reads a text file, or standard input for `-`.
pub(super) fn read_text(path: &Path) -> Result<String, CommandError> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    text.context(ReadSnafu { path })
}
