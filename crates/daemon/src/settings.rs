//! Settings file of the daemon, as TOML and in its checked form.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};
use monsoon_wire::{Keyring, RawKeys};
use serde::Deserialize;

use crate::tls::{Tls, TlsError};

/// Settings that cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read {}: {source}; check the path and its permissions", path.display())]
    Read {
        /// File named on the command line or in the settings.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is not valid TOML or has an unknown or missing key.
    #[display("{} is malformed: {source}see docs/OPERATIONS.md for all keys", path.display())]
    Malformed {
        /// File that was read.
        path: PathBuf,
        /// Error of the parser, with line and column.
        source: toml::de::Error,
    },
    /// The file can be parsed, but values in it are wrong.
    #[display("settings cannot be used:\n{}", faults.join("\n"))]
    Invalid {
        /// All faults, one line each, with the remedy.
        #[error(not(source))]
        faults: Vec<String>,
    },
    /// A certificate file cannot be used.
    #[display("{source}")]
    Tls {
        /// What is wrong with it.
        source: TlsError,
    },
    /// The file of shared keys cannot be used.
    #[display("{}: {message}", path.display())]
    Keys {
        /// File named in the settings.
        path: PathBuf,
        /// What is wrong with it.
        #[error(not(source))]
        message: String,
    },
}

/// Paths of the certificate files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate chain, PEM.
    pub certificate: PathBuf,
    /// Private key, PEM.
    pub key: PathBuf,
    /// Certificate of the cluster's authority, PEM.
    pub authority: PathBuf,
}

/// Settings as parsed, not checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    role: RoleName,
    environment: String,
    data_centre: String,
    advertise: Option<IpAddr>,
    #[serde(default = "any_port")]
    control: SocketAddr,
    #[serde(default = "any_port")]
    data: SocketAddr,
    #[serde(default = "any_port")]
    peer: SocketAddr,
    #[serde(default = "loopback")]
    admin: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    store: Vec<SocketAddr>,
    keys: PathBuf,
    tls: TlsFiles,
    balancer: Option<RawBalancer>,
    agent: Option<RawAgent>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleName {
    Balancer,
    Agent,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBalancer {
    #[serde(default)]
    binds: BTreeMap<SocketAddr, SocketAddr>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAgent {
    service: String,
    target: SocketAddr,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Role of the process.
#[derive(Clone, Debug)]
pub enum Role {
    /// Forwards datagrams between callers and agents.
    Balancer {
        /// Local address to bind instead of a service address.
        binds: BTreeMap<SocketAddr, SocketAddr>,
    },
    /// Terminates flows and runs their requests at a target.
    Agent {
        /// Name of the target's service.
        service: String,
        /// HTTP address of the target.
        target: SocketAddr,
    },
}

/// Checked settings.
#[derive(Debug)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Environment whose configuration applies.
    pub environment: String,
    /// Name of the own data centre.
    pub data_centre: String,
    /// IP address to announce for a socket that is bound to all interfaces.
    pub advertise: Option<IpAddr>,
    /// UDP address for control datagrams.
    pub control: SocketAddr,
    /// UDP address for datagrams between balancers and agents.
    pub data: SocketAddr,
    /// TCP address of the peer service.
    pub peer: SocketAddr,
    /// TCP address of the read-only admin listener.
    pub admin: SocketAddr,
    /// Control addresses of balancers, from which the process learns the others.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's store.
    pub store: Vec<SocketAddr>,
    /// Keys that the processes of the cluster share.
    pub keys: Arc<Keyring>,
    pub tls: Arc<Tls>,
}

impl Settings {
    /// Reads and checks the file at `path` and the files that it names.
    ///
    /// # Errors
    /// Returns the first file that cannot be read, or all faults of the settings.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let raw: RawSettings = read_toml(path)?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let mut faults = Vec::new();
        check_name("environment", &raw.environment, &mut faults);
        check_name("data_centre", &raw.data_centre, &mut faults);
        check_sockets(&raw, &mut faults);
        let role = check_role(&raw, &mut faults);
        let (Some(role), true) = (role, faults.is_empty()) else {
            return Err(SettingsError::Invalid { faults });
        };
        Ok(Self {
            role,
            keys: Arc::new(load_keys(&raw.keys)?),
            tls: load_tls(&raw.tls)?,
            environment: raw.environment,
            data_centre: raw.data_centre,
            advertise: raw.advertise,
            control: raw.control,
            data: raw.data,
            peer: raw.peer,
            admin: raw.admin,
            seeds: raw.seeds,
            store: raw.store,
        })
    }
}

fn check_name(key: &str, name: &str, faults: &mut Vec<String>) {
    let is_plain = name
        .chars()
        .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    if name.is_empty() || !is_plain {
        faults.push(format!(
            "{key} = {name:?} is not a valid name; use lower-case letters, digits and hyphens, as in the document"
        ));
    }
}

fn check_sockets(raw: &RawSettings, faults: &mut Vec<String>) {
    let announced = [
        ("control", raw.control),
        ("data", raw.data),
        ("peer", raw.peer),
    ];
    for (key, address) in announced {
        if address.ip().is_unspecified() && raw.advertise.is_none() {
            faults.push(format!(
                "{key} is bound to all interfaces; set advertise to the address that others reach"
            ));
        }
    }
    if !raw.data.is_ipv4() || raw.advertise.is_some_and(|ip| !ip.is_ipv4()) {
        faults.push("data or advertise is not IPv4; use IPv4 addresses, because connection IDs contain them".into());
    }
    if raw.seeds.is_empty() && raw.store.is_empty() {
        faults
            .push("seeds and store are both empty; name at least one address to start from".into());
    }
}

fn check_role(raw: &RawSettings, faults: &mut Vec<String>) -> Option<Role> {
    match (raw.role, &raw.balancer, &raw.agent) {
        (RoleName::Balancer, balancer, None) => {
            let binds = balancer.clone().unwrap_or_default().binds;
            Some(Role::Balancer { binds })
        }
        (RoleName::Agent, None, Some(agent)) => {
            check_name("agent.service", &agent.service, faults);
            Some(Role::Agent {
                service: agent.service.clone(),
                target: agent.target,
            })
        }
        (RoleName::Balancer, _, Some(_)) => {
            faults.push("role is balancer, but there is a table [agent]; remove it".into());
            None
        }
        (RoleName::Agent, Some(_), _) => {
            faults.push("role is agent, but there is a table [balancer]; remove it".into());
            None
        }
        (RoleName::Agent, None, None) => {
            faults.push(
                "role is agent, but there is no table [agent]; add it with service and target"
                    .into(),
            );
            None
        }
    }
}

fn load_tls(files: &TlsFiles) -> Result<Arc<Tls>, SettingsError> {
    let tls = Tls::try_from(files).map_err(|source| SettingsError::Tls { source })?;
    Ok(Arc::new(tls))
}

fn load_keys(path: &Path) -> Result<Keyring, SettingsError> {
    let text = read_text(path)?;
    let unusable = |message| SettingsError::Keys {
        path: path.to_owned(),
        message,
    };
    // The error of the parser quotes the line, which may hold a secret.
    let raw: RawKeys = toml::from_str(&text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start.min(text.len()));
        let line = text.as_bytes()[..at].split(|&byte| byte == b'\n').count();
        unusable(format!(
            "line {line} cannot be used; write phase as a number and current, previous and next as \
             quoted hex digits"
        ))
    })?;
    Keyring::try_from(raw).map_err(|error| unusable(error.to_string()))
}

fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })
}

fn read_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = read_text(path)?;
    toml::from_str(&text).map_err(|source| SettingsError::Malformed {
        path: path.to_owned(),
        source,
    })
}
