//! `trefoilctl keys authority` and `trefoilctl keys certificate`.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use snafu::ResultExt;
use trefoil_core::{Clock, HostName, SystemClock};
use trefoil_wire::keys::{Authority, KeyPem};

use super::{PRIVATE_MODE, PUBLIC_MODE, write_new};
use crate::commands::ctl::context::read_text;
use crate::commands::ctl::error::CertificateSnafu;
use crate::commands::ctl::{CommandError, Context, ExitStatus, required};

/// Default validity of an authority, in days. Ten years, so that it outlives the hosts whose
/// certificates it issues.
const AUTHORITY_DAYS: &str = "3650";

/// Default validity of a host certificate, in days. Hosts are replaced more often than once a year.
const HOST_DAYS: &str = "365";

pub(super) fn authority_command() -> Command {
    Command::new("authority")
        .about("Create the deployment's certificate authority")
        .arg(
            Arg::new("name")
                .long("name")
                .value_name("NAME")
                .required(true)
                .help("Name in the certificate, for people"),
        )
        .arg(days_arg(AUTHORITY_DAYS))
        .arg(prefix_arg(
            "out",
            "New files PREFIX.pem (certificate) and PREFIX.key.pem (private key)",
        ))
}

pub(super) fn host_command() -> Command {
    Command::new("certificate")
        .about("Issue the certificate of a host")
        .arg(
            Arg::new("host")
                .long("host")
                .value_name("NAME")
                .value_parser(value_parser!(HostName))
                .required(true)
                .help("Name of the host, as in its settings"),
        )
        .arg(days_arg(HOST_DAYS))
        .arg(prefix_arg(
            "authority",
            "Files PREFIX.pem and PREFIX.key.pem of the authority",
        ))
        .arg(prefix_arg(
            "out",
            "New files PREFIX.pem (certificate) and PREFIX.key.pem (private key)",
        ))
}

fn days_arg(default: &'static str) -> Arg {
    Arg::new("days")
        .long("days")
        .value_name("DAYS")
        .value_parser(value_parser!(u64).range(1..=36_500))
        .default_value(default)
        .help("Validity")
}

fn prefix_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("PREFIX")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

/// Paths of the files that were written.
#[derive(Debug, Serialize)]
struct WrittenFiles {
    certificate: String,
    key: String,
}

impl fmt::Display for WrittenFiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.certificate, self.key)
    }
}

pub(super) fn authority(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let name = required::<String>(matches, "name")?;
    let now = SystemClock.unix();
    let issued = Authority::create(name, now, validity(matches)?).context(CertificateSnafu)?;
    write_pem(matches, issued.pem(), context)
}

pub(super) fn host(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let host = required::<HostName>(matches, "host")?;
    let (cert, key) = pem_files(required::<PathBuf>(matches, "authority")?);
    let pem = KeyPem {
        cert: read_text(&cert)?,
        key: read_text(&key)?,
    };
    let authority = Authority::from_pem(pem).context(CertificateSnafu)?;
    let now = SystemClock.unix();
    let issued = authority
        .issue(host, now, validity(matches)?)
        .context(CertificateSnafu)?;
    write_pem(matches, &issued, context)
}

fn validity(matches: &ArgMatches) -> Result<Duration, CommandError> {
    Ok(Duration::from_hours(24 * required::<u64>(matches, "days")?))
}

fn write_pem(
    matches: &ArgMatches,
    pem: &KeyPem,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let (cert, key) = pem_files(required::<PathBuf>(matches, "out")?);
    write_new(&key, PRIVATE_MODE, pem.key.as_bytes())?;
    write_new(&cert, PUBLIC_MODE, pem.cert.as_bytes())?;
    context.print(&WrittenFiles {
        certificate: cert.display().to_string(),
        key: key.display().to_string(),
    })?;
    Ok(ExitStatus::Done)
}

/// Returns the paths of the certificate and the key for a prefix. The suffix is appended, because
/// replacing the extension would be wrong for a prefix that contains dots.
fn pem_files(prefix: &Path) -> (PathBuf, PathBuf) {
    let with_suffix = |suffix: &str| {
        let mut name = prefix.as_os_str().to_owned();
        name.push(suffix);
        PathBuf::from(name)
    };
    (with_suffix(".pem"), with_suffix(".key.pem"))
}
