//! Loads the settings from a file, the environment and flags, and the files that they name.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, value_parser};
use slog::Level;
use snafu::{ResultExt, Snafu};
use trefoil_config::settings::{LogLevel, Overrides, SETTING_PATHS, flag_name};
use trefoil_config::{Findings, Settings};
use trefoil_http::Limits;
use trefoil_log::{Addresses, KeyId, Keyring, Role, Signer};
use trefoil_wire::{Identity, KeyPem};

/// Error from loading the settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{findings}"))]
    Invalid {
        /// All errors with their locations.
        findings: Findings,
    },
    /// A key or certificate cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    InvalidKey {
        /// The file, or the settings file for a key that it holds.
        path: PathBuf,
        /// Reason for which it is unusable.
        reason: String,
    },
    /// Several files cannot be used.
    #[snafu(display("{}", join_lines(errors)))]
    Multiple {
        /// One error for each file.
        errors: Vec<SettingsError>,
    },
}

fn join_lines(errors: &[SettingsError]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Description of the exit codes, appended to a subcommand's help.
pub const EXIT_CODES: &str = "Exit codes:
   0  done; of `run`: drained after SIGTERM or SIGINT
   1  the settings, a file that they name or a port cannot be used
   2  wrong usage
  75  the lease of this incarnation has ended: start the process again";

/// Returns the flag for the settings file, and one flag for each setting.
pub fn args() -> Vec<Arg> {
    let file = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings in YAML; TREFOIL_* variables override them, and flags override both");
    let flags = SETTING_PATHS.iter().map(|setting| {
        let (value, help) = flag_help(setting);
        Arg::new(*setting)
            .long(flag_name(setting))
            .value_name(value)
            .help(help)
            .help_heading("Settings")
    });
    std::iter::once(file).chain(flags).collect()
}

/// Returns the value name and the help of a setting's flag.
fn flag_help(setting: &str) -> (&'static str, &'static str) {
    match setting {
        "name" => ("NAME", "Name of this entry host"),
        "domain" => ("NAME", "Failure domain that this host runs in"),
        "region" => ("NAME", "Region that this host runs in"),
        "caller" => ("ADDR", "Listen address for callers (HTTP)"),
        "peer" => ("ADDR", "Listen address for other hosts (QUIC)"),
        "operator" => (
            "ADDR",
            "Listen address for operators, metrics and health (HTTP)",
        ),
        "seeds" => (
            "ADDR,...",
            "Peer addresses that are queried while the log is unavailable",
        ),
        "platform.log" => ("ADDR", "Address of the log service"),
        "platform.hosts" => ("ADDR", "Address of the host list"),
        "tls.authority" => ("FILE", "Certificate of the deployment's authority (PEM)"),
        "tls.certificate" => ("FILE", "Certificate of this host (PEM)"),
        "tls.key" => ("FILE", "Private key of the certificate (PEM)"),
        "keys.operators" => ("KEY,...", "Public keys of operators"),
        "keys.hosts" => ("KEY,...", "Public keys of hosts"),
        "keys.signing" => ("FILE", "Signing key of this host (PKCS#8)"),
        "limits.header" => ("BYTES", "Maximum size of the head of a caller's request"),
        "limits.headers" => ("N", "Maximum number of header fields of a caller's request"),
        "limits.connections" => ("N", "Maximum number of open connections from callers"),
        "trace" => ("FILE", "File that trace spans are appended to"),
        "log-level" => ("LEVEL", "Lowest severity that is logged"),
        _ => ("VALUE", ""),
    }
}

/// The settings, and the keys and certificates from the files that they name.
#[derive(Debug)]
pub struct LoadedSettings {
    /// The settings.
    pub settings: Settings,
    /// Certificate and key of this host.
    pub identity: Identity,
    /// Signs this host's log records.
    pub signer: Signer,
    /// Public keys whose records are accepted.
    pub keys: Keyring,
}

/// Loads the settings file that the flags name, and every file that it names in turn.
pub fn load(matches: &ArgMatches) -> Result<LoadedSettings, SettingsError> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let text = read_file(&path)?;
    let variables = std::env::vars().filter(|(name, _)| name.starts_with("TREFOIL_"));
    let mut overrides = Overrides::new().variables(variables);
    for setting in SETTING_PATHS {
        if let Some(value) = matches.get_one::<String>(setting) {
            overrides = overrides.flag(setting, value);
        }
    }
    let name = path.display().to_string();
    let settings = Settings::load(&text, &name, &overrides)
        .map_err(|findings| SettingsError::Invalid { findings })?;
    let results = (
        load_identity(&settings),
        load_signer(&settings),
        build_keyring(&settings, &path),
    );
    match results {
        (Ok(identity), Ok(signer), Ok(keys)) => Ok(LoadedSettings {
            settings,
            identity,
            signer,
            keys,
        }),
        // Errors of all files are reported together.
        (identity, signer, keys) => {
            let errors = [identity.err(), signer.err(), keys.err()];
            let errors: Vec<_> = errors.into_iter().flatten().collect();
            MultipleSnafu { errors }.fail()
        }
    }
}

fn load_identity(settings: &Settings) -> Result<Identity, SettingsError> {
    let tls = &settings.tls;
    let files = [&tls.authority, &tls.certificate, &tls.key].map(|path| read_file(path));
    let [authority, cert, key] = match files {
        [Ok(authority), Ok(cert), Ok(key)] => [authority, cert, key],
        files => {
            let errors: Vec<_> = files.into_iter().filter_map(Result::err).collect();
            return MultipleSnafu { errors }.fail();
        }
    };
    let host = KeyPem { cert, key };
    Identity::from_pem(&authority, &host).map_err(|e| SettingsError::InvalidKey {
        path: tls.certificate.clone(),
        reason: e.to_string(),
    })
}

fn load_signer(settings: &Settings) -> Result<Signer, SettingsError> {
    let signing = &settings.keys.signing;
    let der = std::fs::read(signing).context(ReadSnafu { path: signing })?;
    Signer::from_pkcs8(&der).map_err(|e| SettingsError::InvalidKey {
        path: signing.clone(),
        reason: e.to_string(),
    })
}

impl LoadedSettings {
    /// Returns the listen addresses.
    pub fn addresses(&self) -> Addresses {
        let Settings {
            caller,
            peer,
            operator,
            ..
        } = self.settings;
        Addresses {
            caller,
            peer,
            operator,
        }
    }

    /// Returns the limits on callers' requests and connections.
    pub fn limits(&self) -> Limits {
        let limits = self.settings.limits;
        let size = |n: u32| usize::try_from(n).unwrap_or(usize::MAX);
        Limits {
            head: size(limits.header),
            fields: size(limits.headers),
            connections: size(limits.connections),
        }
    }
}

/// Converts the log level of the settings to that of slog.
pub fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn build_keyring(settings: &Settings, path: &Path) -> Result<Keyring, SettingsError> {
    let mut keys = Keyring::default();
    let lists = [
        (&settings.keys.operators, Role::Operator),
        (&settings.keys.hosts, Role::Host),
    ];
    for (list, role) in lists {
        for key in list {
            let key = key.to_string().parse::<KeyId>();
            let key = key.map_err(|e| SettingsError::InvalidKey {
                path: path.to_owned(),
                reason: e.to_string(),
            })?;
            keys.add(key, role);
        }
    }
    Ok(keys)
}
