//! Test certificates, and the keys file that balancers and agents share.

use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use ring::rand::{SecureRandom, SystemRandom};

use crate::error::Error;

/// Names for which the server certificate is valid: the services, the connections between
/// processes, and the loopback address.
pub const SERVER_NAMES: [&str; 7] = [
    "localhost",
    "prodejna",
    "dilna",
    "homologacion",
    "archivo-evidencia",
    "peer",
    "127.0.0.1",
];

/// Writes `ca.pem`, `server.pem`, `server.key` and `keys.toml` into `dir`, and creates it if
/// necessary.
///
/// # Errors
/// Returns an error when a file cannot be written or a certificate cannot be made.
pub fn write(dir: &Path) -> Result<(), Error> {
    let ca_key = KeyPair::generate().map_err(creation_error)?;
    let ca = ca_params()?;
    let ca_pem = ca.self_signed(&ca_key).map_err(creation_error)?.pem();
    let issuer = Issuer::new(ca, ca_key);
    let server_key = KeyPair::generate().map_err(creation_error)?;
    let server = server_params()?
        .signed_by(&server_key, &issuer)
        .map_err(creation_error)?;

    fs::create_dir_all(dir).map_err(Error::file(dir))?;
    write_file(&dir.join("ca.pem"), 0o644, &ca_pem)?;
    write_file(&dir.join("server.pem"), 0o644, &server.pem())?;
    write_file(&dir.join("server.key"), 0o600, &server_key.serialize_pem())?;
    write_file(&dir.join("keys.toml"), 0o600, &keys_text()?)
}

fn creation_error(error: rcgen::Error) -> Error {
    Error::certificate("certificates could not be made")(error)
}

fn ca_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::new()).map_err(creation_error)?;
    params
        .distinguished_name
        .push(DnType::CommonName, "monsoonrouter test CA");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn server_params() -> Result<CertificateParams, Error> {
    let names: Vec<String> = SERVER_NAMES.iter().map(ToString::to_string).collect();
    let mut params = CertificateParams::new(names).map_err(creation_error)?;
    params
        .distinguished_name
        .push(DnType::CommonName, "monsoonrouter test server");
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    // The processes use one certificate for both ends of the connections between them.
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

fn keys_text() -> Result<String, Error> {
    let mut secret = [0_u8; 32];
    SystemRandom::new()
        .fill(&mut secret)
        .map_err(Error::certificate(
            "the secret for the keys file could not be generated",
        ))?;
    Ok(format!("phase = 0\ncurrent = \"{}\"\n", hex(&secret)))
}

/// Lower-case hexadecimal digits of `bytes`.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
        text
    })
}

fn write_file(path: &Path, mode: u32, text: &str) -> Result<(), Error> {
    fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(Error::file(path))
}
