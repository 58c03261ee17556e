//! Certificates and keys that the stand-ins and monsoonrouter load.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

use monsoon_standin::certs;
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier as _;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;

/// Directory with certificates and keys; removed at the end of the test.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let name = format!("monsoon-certs-{name}-{}", std::process::id());
        let dir = Self(std::env::temp_dir().join(name));
        certs::write(&dir.0).unwrap();
        dir
    }

    fn certificate(&self, name: &str) -> CertificateDer<'static> {
        CertificateDer::from_pem_file(self.0.join(name)).unwrap()
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

/// Guards against a certificate that is refused for a service name or at one end of a connection
/// between processes.
#[test]
fn certificate_is_valid_at_both_ends_of_a_connection() {
    let dir = Dir::new("both");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    roots.add(dir.certificate("ca.pem")).unwrap();
    let roots = Arc::new(roots);
    let certificate = dir.certificate("server.pem");
    let now = UnixTime::now();

    let server =
        WebPkiServerVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider));
    let server = server.build().unwrap();
    let links = ["localhost", "peer", "127.0.0.1"];
    let services = ["prodejna", "dilna", "homologacion", "archivo-evidencia"];
    for name in links.into_iter().chain(services) {
        let name = ServerName::try_from(name).unwrap();
        server
            .verify_server_cert(&certificate, &[], &name, &[], now)
            .unwrap();
    }
    let other = ServerName::try_from("other").unwrap();
    assert!(
        server
            .verify_server_cert(&certificate, &[], &other, &[], now)
            .is_err()
    );
    let client = WebPkiClientVerifier::builder_with_provider(roots, provider)
        .build()
        .unwrap();
    client.verify_client_cert(&certificate, &[], now).unwrap();
}

/// Guards against a keys file that monsoonrouter cannot read, and against the same secret in every
/// test.
#[test]
fn keys_file_has_a_new_secret_each_time() {
    let (first, second) = (Dir::new("first"), Dir::new("second"));
    let secret = |dir: &Dir| {
        let text = std::fs::read_to_string(dir.0.join("keys.toml")).unwrap();
        let keys: BTreeMap<String, toml::Value> = toml::from_str(&text).unwrap();
        assert_eq!(keys["phase"].as_integer(), Some(0));
        keys["current"].as_str().unwrap().to_owned()
    };
    let (one, two) = (secret(&first), secret(&second));
    assert_eq!(one.len(), 64);
    assert!(one.bytes().all(|digit| digit.is_ascii_hexdigit()));
    assert_ne!(one, two);
}
