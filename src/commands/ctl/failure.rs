//! Why a subcommand cannot give a result.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use super::Exit;

/// Why a subcommand cannot give a result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Failure {
    /// An argument has no value although clap requires one.
    #[snafu(display("argument {name} is missing"))]
    Argument {
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
    #[snafu(display("{} holds no Ed25519 key in PKCS#8: {reason}", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
        /// Reason.
        reason: String,
    },
    /// A key cannot be created.
    #[snafu(display("cannot create a key: {reason}"))]
    Create {
        /// Reason.
        reason: String,
    },
    /// A certificate cannot be issued or its authority cannot be loaded.
    #[snafu(display("{source}"))]
    Certificate {
        /// Reason.
        source: trefoil_wire::keys::KeyError,
    },
    /// Standard output is closed or full.
    #[snafu(display("cannot write the result: {source}"))]
    Output {
        /// Reason.
        source: io::Error,
    },
}

impl Failure {
    /// The exit code of a command that fails in this way.
    pub fn exit(&self) -> Exit {
        match self {
            // `trefoilctl watch | head` ends like this.
            Self::Output { source } if source.kind() == io::ErrorKind::BrokenPipe => Exit::Done,
            Self::Output { .. } => Exit::Unknown,
            Self::Argument { .. }
            | Self::Read { .. }
            | Self::Write { .. }
            | Self::Key { .. }
            | Self::Create { .. }
            | Self::Certificate { .. } => Exit::Usage,
        }
    }
}
