//! `trefoilctl keys`: creates signing keys, the deployment's authority and host certificates.
//!
//! Private keys are written to new files that only their owner can read. Existing files are never
//! overwritten, because replacing a lost signing key requires a change of settings on every host.

mod certificates;

use std::fmt;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use snafu::ResultExt;
use trefoil_log::{KeyId, Signer};

use super::error::{ReadSnafu, WriteSnafu};
use super::{CommandError, Context, ExitStatus, required};

/// File mode of private keys.
const PRIVATE_MODE: u32 = 0o600;

/// File mode of public files.
const PUBLIC_MODE: u32 = 0o644;

const EXAMPLES: &str = "Examples:
  trefoilctl keys operator --out operator.key
  trefoilctl keys host --out entry-01.signing.key
  trefoilctl keys public operator.key
  trefoilctl keys authority --name brekkestad --out authority
  trefoilctl keys certificate --host entry-01 --authority authority --out entry-01

Put the printed public keys into keys.operators and keys.hosts of every host's settings.";

pub(super) fn command() -> Command {
    let out = |help| {
        Arg::new("out")
            .long("out")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .required(true)
            .help(help)
    };
    let signing = |name, about| {
        Command::new(name)
            .about(about)
            .arg(out("New file for the private key (PKCS#8)"))
    };
    Command::new("keys")
        .about("Create signing keys and certificates; needs no daemon")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(signing("operator", "Create the signing key of an operator"))
        .subcommand(signing("host", "Create the signing key of a host"))
        .subcommand(
            Command::new("public")
                .about("Print the public key of a signing key")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .required(true)
                        .help("File with the private key"),
                ),
        )
        .subcommand(certificates::authority_command())
        .subcommand(certificates::host_command())
}

/// A signing key that was created or read.
#[derive(Debug, Serialize)]
struct SigningKey {
    file: String,
    public: String,
}

impl fmt::Display for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.public)
    }
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    match matches.subcommand() {
        Some(("operator" | "host", arguments)) => {
            create_key(required::<PathBuf>(arguments, "out")?, context)
        }
        Some(("public", arguments)) => {
            show_public(required::<PathBuf>(arguments, "file")?, context)
        }
        Some(("authority", arguments)) => certificates::authority(arguments, context),
        Some(("certificate", arguments)) => certificates::host(arguments, context),
        // Unreachable: every subcommand of `command` is matched above.
        _ => Ok(ExitStatus::Usage),
    }
}

fn create_key(path: &Path, context: &mut Context<'_>) -> Result<ExitStatus, CommandError> {
    let pkcs8 = Signer::generate().map_err(|e| CommandError::CreateKey {
        reason: e.to_string(),
    })?;
    let public = public_key(path, &pkcs8)?;
    write_new(path, PRIVATE_MODE, &pkcs8)?;
    print_public(path, public, context)
}

fn show_public(path: &Path, context: &mut Context<'_>) -> Result<ExitStatus, CommandError> {
    let bytes = std::fs::read(path).context(ReadSnafu { path })?;
    let public = public_key(path, &bytes)?;
    print_public(path, public, context)
}

fn print_public(
    path: &Path,
    public: KeyId,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    context.print(&SigningKey {
        file: path.display().to_string(),
        public: public.to_string(),
    })?;
    Ok(ExitStatus::Done)
}

fn public_key(path: &Path, pkcs8: &[u8]) -> Result<KeyId, CommandError> {
    let signer = Signer::from_pkcs8(pkcs8).map_err(|e| CommandError::InvalidKey {
        path: path.to_owned(),
        reason: e.to_string(),
    })?;
    Ok(signer.key())
}

/// Writes a new file. Fails if it already exists.
fn write_new(path: &Path, mode: u32, bytes: &[u8]) -> Result<(), CommandError> {
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .context(WriteSnafu { path })?;
    file.write_all(bytes)
        .and_then(|()| file.sync_all())
        .context(WriteSnafu { path })
}
