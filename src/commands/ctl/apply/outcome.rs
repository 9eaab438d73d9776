//! Outcomes of `trefoilctl apply` and their output.

use std::fmt;

use serde::Serialize;
use trefoil_config::Findings;
use trefoil_core::{DomainName, ResourceName, Revision, UnixMillis};

use crate::commands::ctl::ExitStatus;
use crate::commands::ctl::client::{Domains, format_time};

/// Outcome of one run. The module documentation of `apply` describes the variants.
#[derive(Debug, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub(super) enum Outcome {
    Accepted {
        name: ResourceName,
        revision: Revision,
        /// True if it is in force in every failure domain.
        everywhere: bool,
        domains: Domains,
        /// Failure domains that do not serve it yet.
        behind: Vec<DomainName>,
    },
    Conflict {
        name: ResourceName,
        /// Revision that the file is based on.
        base: Revision,
        /// Revision in force, 0 if the resource does not exist.
        current: Revision,
        /// True if the resource in force has the same content as the file.
        same: bool,
    },
    Refused {
        reason: String,
        findings: Findings,
    },
    Unavailable {
        reason: String,
    },
    Unknown {
        name: ResourceName,
        base: Revision,
        /// Time of the record, which becomes the time of acceptance.
        time: UnixMillis,
        reason: String,
    },
}

impl Outcome {
    pub(super) fn refused(reason: String) -> Self {
        Self::Refused {
            reason,
            findings: Findings::default(),
        }
    }

    /// Returns the exit code. A resource that was accepted but is not yet in force everywhere
    /// counts as unknown, because the timeout expired before it could be confirmed.
    pub(super) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Accepted {
                everywhere: true, ..
            } => ExitStatus::Done,
            Self::Conflict { .. } | Self::Refused { .. } => ExitStatus::Refused,
            Self::Accepted { .. } | Self::Unavailable { .. } | Self::Unknown { .. } => {
                ExitStatus::Unknown
            }
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                name,
                revision,
                everywhere,
                domains,
                behind,
            } => {
                write!(f, "accepted: {name} revision {revision}")?;
                match (everywhere, behind.as_slice()) {
                    (true, _) => {
                        let names: Vec<&str> = domains.keys().map(DomainName::as_str).collect();
                        write!(f, ", in force in {}", names.join(", "))
                    }
                    (false, []) => f.write_str(", whether it is in force is not known"),
                    (false, behind) => {
                        let names: Vec<&str> = behind.iter().map(DomainName::as_str).collect();
                        write!(f, ", not yet in force in {}", names.join(", "))
                    }
                }
            }
            Self::Conflict {
                name,
                base,
                current,
                same,
            } => {
                match current.0 {
                    0 => write!(f, "conflict: {name} does not exist")?,
                    _ => write!(f, "conflict: {name} is at revision {current}")?,
                }
                write!(f, ", the file builds on {base}")?;
                if *same {
                    f.write_str("; the resource in force has the same content as the file")?;
                }
                Ok(())
            }
            Self::Refused { reason, findings } => {
                write!(f, "refused: {reason}")?;
                findings.into_iter().try_for_each(|x| write!(f, "\n{x}"))
            }
            Self::Unavailable { reason } => {
                write!(f, "not accepted, nothing was changed: {reason}")
            }
            Self::Unknown {
                name,
                base,
                time: at,
                reason,
            } => write!(
                f,
                "unknown: {reason}\n`trefoilctl get {name}` shows a revision above {base}, accepted \
                 {}, if the change is in force",
                format_time(*at)
            ),
        }
    }
}
