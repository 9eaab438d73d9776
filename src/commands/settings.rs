//! Settings from a file, the environment and flags, and the files that they name.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, value_parser};
use snafu::{ResultExt, Snafu};
use trefoil_config::settings::Overrides;
use trefoil_config::{Findings, Settings};
use trefoil_http::Limits;
use trefoil_log::{Addresses, KeyId, Keyring, Role, Signer};
use trefoil_wire::{Identity, KeyPem};

/// Why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings have mistakes.
    #[snafu(display("{findings}"))]
    Invalid {
        /// All mistakes with their places.
        findings: Findings,
    },
    /// A key or certificate cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    Key {
        /// The file, or the settings file for a key that it holds.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
}

/// The flag that names the settings file.
pub fn arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings in YAML; TREFOIL_* variables override them")
}

/// What the settings and the files that they name hold.
#[derive(Debug)]
pub struct Loaded {
    /// The settings.
    pub settings: Settings,
    /// Certificate and key of this host.
    pub identity: Identity,
    /// Key that signs this host's log records.
    pub signer: Signer,
    /// Keys whose records are accepted.
    pub keys: Keyring,
}

/// Reads the settings file that the flags name and every file that it names.
pub fn load(matches: &ArgMatches) -> Result<Loaded, SettingsError> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let text = read(&path)?;
    let variables = std::env::vars().filter(|(name, _)| name.starts_with("TREFOIL_"));
    let overrides = Overrides::new().variables(variables);
    let name = path.display().to_string();
    let settings = Settings::load(&text, &name, &overrides)
        .map_err(|findings| SettingsError::Invalid { findings })?;
    let tls = &settings.tls;
    let host = KeyPem {
        cert: read(&tls.certificate)?,
        key: read(&tls.key)?,
    };
    let identity =
        Identity::from_pem(&read(&tls.authority)?, &host).map_err(|e| SettingsError::Key {
            path: tls.certificate.clone(),
            reason: e.to_string(),
        })?;
    let signing = &settings.keys.signing;
    let der = std::fs::read(signing).context(ReadSnafu { path: signing })?;
    let signer = Signer::from_pkcs8(&der).map_err(|e| SettingsError::Key {
        path: signing.clone(),
        reason: e.to_string(),
    })?;
    let keys = keyring(&settings, &path)?;
    Ok(Loaded {
        settings,
        identity,
        signer,
        keys,
    })
}

impl Loaded {
    /// The listen addresses.
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

    /// The bounds on what callers may send.
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

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn keyring(settings: &Settings, path: &Path) -> Result<Keyring, SettingsError> {
    let mut keys = Keyring::default();
    let lists = [
        (&settings.keys.operators, Role::Operator),
        (&settings.keys.hosts, Role::Host),
    ];
    for (list, role) in lists {
        for key in list {
            let key = key.to_string().parse::<KeyId>();
            let key = key.map_err(|e| SettingsError::Key {
                path: path.to_owned(),
                reason: e.to_string(),
            })?;
            keys.add(key, role);
        }
    }
    Ok(keys)
}
