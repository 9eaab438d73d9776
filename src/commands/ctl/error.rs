//! Errors of the subcommands.

use std::io;
use std::path::PathBuf;

use http::StatusCode;
use snafu::Snafu;
use trefoil_core::ResourceName;

use super::ExitStatus;

/// Error of a subcommand that has no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CommandError {
    /// An argument that clap requires has no value.
    #[snafu(display("argument {name} is missing"))]
    MissingArgument {
        /// Name of the argument.
        name: &'static str,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Reason.
        source: io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// Reason.
        source: io::Error,
    },
    /// A file does not contain a key of the expected kind.
    #[snafu(display("{}: {reason}", path.display()))]
    InvalidKey {
        /// The file.
        path: PathBuf,
        /// Reason.
        reason: String,
    },
    /// A key cannot be created.
    #[snafu(display("cannot create a key: {reason}"))]
    CreateKey {
        /// Reason.
        reason: String,
    },
    /// A certificate cannot be issued or its authority cannot be loaded.
    #[snafu(display("{source}"))]
    Certificate {
        /// Reason.
        source: trefoil_wire::keys::KeyError,
    },
    /// A record cannot be encoded.
    #[snafu(display("cannot encode the record: {source}"))]
    EncodeRecord {
        /// Reason.
        source: trefoil_log::RecordError,
    },
    /// The daemon did not respond.
    #[snafu(display("{source}"))]
    Unreachable {
        /// Reason.
        source: trefoil_http::CallError,
    },
    /// The daemon responded with an error status.
    #[snafu(display("the daemon answered {status}: {message}"))]
    ErrorResponse {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        message: String,
    },
    /// The daemon's response does not have the format that this version expects.
    #[snafu(display("the answer to {path} cannot be read: {source}"))]
    MalformedResponse {
        /// Path of the request.
        path: String,
        /// Reason.
        source: serde_json::Error,
    },
    /// No resource has this name.
    #[snafu(display("no resource is named {name}"))]
    UnknownResource {
        /// The name.
        name: ResourceName,
    },
    /// The result cannot be written to standard output.
    #[snafu(display("cannot write the result: {source}"))]
    Output {
        /// Reason.
        source: io::Error,
    },
}

impl CommandError {
    /// Returns the exit code for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            // The reader has enough, as in `trefoilctl watch | head`.
            Self::Output { source } if source.kind() == io::ErrorKind::BrokenPipe => {
                ExitStatus::Done
            }
            Self::UnknownResource { .. } => ExitStatus::Refused,
            Self::Output { .. }
            | Self::Unreachable { .. }
            | Self::ErrorResponse { .. }
            | Self::MalformedResponse { .. } => ExitStatus::Unknown,
            Self::MissingArgument { .. }
            | Self::Read { .. }
            | Self::Write { .. }
            | Self::InvalidKey { .. }
            | Self::CreateKey { .. }
            | Self::EncodeRecord { .. }
            | Self::Certificate { .. } => ExitStatus::Usage,
        }
    }
}
