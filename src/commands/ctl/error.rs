//! Why a subcommand cannot give a result.

use std::io;
use std::path::PathBuf;

use http::StatusCode;
use snafu::Snafu;
use trefoil_core::ResourceName;

use super::ExitStatus;

/// Why a subcommand cannot give a result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CommandError {
    /// An argument has no value although clap requires one.
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
    /// A file holds no key of the expected kind.
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
    /// A record does not encode.
    #[snafu(display("cannot encode the record: {source}"))]
    EncodeRecord {
        /// Reason.
        source: trefoil_log::RecordError,
    },
    /// The daemon gave no answer.
    #[snafu(display("{source}"))]
    Unreachable {
        /// Reason.
        source: trefoil_http::CallError,
    },
    /// The daemon refused a request or failed.
    #[snafu(display("the daemon answered {status}: {message}"))]
    ErrorResponse {
        /// Status of the answer.
        status: StatusCode,
        /// Text of the answer.
        message: String,
    },
    /// The daemon's answer is not what this version expects.
    #[snafu(display("the answer to {path} cannot be read: {source}"))]
    MalformedResponse {
        /// The call.
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
    /// Standard output is closed or full.
    #[snafu(display("cannot write the result: {source}"))]
    Output {
        /// Reason.
        source: io::Error,
    },
}

impl CommandError {
    /// The exit code of a command that fails in this way.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            // `trefoilctl watch | head` ends like this.
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
