//! What all subcommands share: the form of the output and the daemon's address.

use std::fmt;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use clap::ArgMatches;
use serde::Serialize;
use snafu::ResultExt;

use super::error::{CommandError, OutputSnafu, ReadSnafu};
use super::{ExitStatus, SERVER};

/// Form of the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON document, or one line for each change in `watch`.
    Json,
}

/// Output and daemon of one run.
pub struct Context<'a> {
    /// Form of the result.
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
    /// Takes the global arguments.
    pub(super) fn new<W>(matches: &ArgMatches, out: W) -> Self
    where
        W: Write + 'a,
    {
        let json = matches
            .get_one::<String>("output")
            .is_some_and(|o| o == "json");
        let fallback = || SERVER.parse().unwrap_or((Ipv4Addr::LOCALHOST, 9090).into());
        Self {
            format: if json { Format::Json } else { Format::Text },
            server: matches.get_one("server").copied().unwrap_or_else(fallback),
            out: Box::new(out),
        }
    }

    /// Prints a result: its JSON form, or its text with a line break at the end.
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

    /// Prints bytes as they are, in both forms of output.
    pub(super) fn raw(&mut self, bytes: &[u8]) -> Result<(), CommandError> {
        self.out
            .write_all(bytes)
            .and_then(|()| self.out.flush())
            .context(OutputSnafu)
    }

    /// Reports a failure on standard error and returns its exit code.
    pub(super) fn fail(&self, failure: &CommandError) -> ExitStatus {
        let line = match self.format {
            Format::Text => format!("trefoilctl: {failure}"),
            Format::Json => serde_json::json!({ "error": failure.to_string() }).to_string(),
        };
        let exit = failure.exit_status();
        if exit != ExitStatus::Done {
            // Nothing is left to do where the report itself fails.
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
