//! Configurations between processes of two releases. Former ones hold packed versions only.

use std::collections::{BTreeMap, BTreeSet};

use monsoon_flow::{Catalogue, Evacuations};
use monsoon_model::{Duration, Version, Versions};

use super::{SharedConfiguration, configuration_path, decode, encode, parse_versions};

fn versions(document: &str, evacuations: &str) -> Versions {
    Versions {
        document: document.parse().expect("a version"),
        evacuations: evacuations.parse().expect("a version"),
    }
}

fn configuration(versions: Versions, has_catalogue: bool) -> SharedConfiguration {
    let catalogue = Catalogue {
        version: versions.document,
        routes: BTreeMap::new(),
        services: BTreeMap::new(),
        idle_timeout: Duration::from_secs(15),
    };
    SharedConfiguration {
        is_checked: true,
        catalogue: has_catalogue.then_some(catalogue),
        evacuations: Evacuations {
            version: versions.evacuations,
            data_centres: BTreeSet::from(["brno".to_owned()]),
        },
    }
}

/// Pairs of versions, with the largest and the least usual values.
fn all_versions() -> [Versions; 6] {
    [
        versions("none", "none"),
        versions("7", "3"),
        versions("2.7", "2.3"),
        versions("20261207010203", "3"),
        versions("0.-7.5", "1.18446744073709551616"),
        versions("18446744073709551615.1e300", "0.1e300"),
    ]
}

/// Guards against a process that fetches a configuration again and again, or not at all, because
/// its peer reads the versions of the request as others.
#[test]
fn a_request_states_the_versions() {
    for versions in all_versions() {
        let path = configuration_path(versions);
        let (_, query) = path.split_once('?').expect("a query");
        assert_eq!(parse_versions(query), versions, "{path}");
        // Former releases read the first two parameters.
        let packed = format!(
            "config={}&places={}",
            versions.document.packed(),
            versions.evacuations.packed()
        );
        assert!(query.starts_with(&packed), "{path}");
        let rounded = Versions {
            document: Version::from_packed(versions.document.packed()),
            evacuations: Version::from_packed(versions.evacuations.packed()),
        };
        assert_eq!(parse_versions(&packed), rounded, "{path}");
    }
    for query in ["", "config=x&places=-1", "exact_config=1.x&exact_places="] {
        assert_eq!(parse_versions(query), Versions::default(), "{query}");
    }
}

/// Guards against a configuration that comes into force with another version than its peer had.
#[test]
fn a_configuration_has_its_versions() {
    for versions in all_versions() {
        for has_catalogue in [false, true] {
            let sent = configuration(versions, has_catalogue);
            let read = decode(&encode(&sent)).expect("a configuration");
            assert_eq!(read.catalogue, sent.catalogue, "{versions:?}");
            assert_eq!(read.evacuations, sent.evacuations, "{versions:?}");
        }
    }
}

/// Guards against a process of a former release that cannot read the configuration of a peer. It
/// ignores what follows, and takes the packed version.
#[test]
fn former_releases_read_the_packed_versions() {
    for versions in all_versions() {
        let sent = configuration(versions, true);
        let body = encode(&sent);
        let former: SharedConfiguration = postcard::from_bytes(&body).expect("a configuration");
        let catalogue = former.catalogue.expect("it was sent");
        let packed = versions.document.packed();
        assert_eq!(catalogue.version, Version::from_packed(packed));
        // A body of a former release ends with the configuration.
        let body = postcard::to_stdvec(&sent).expect("a configuration");
        let read = decode(&body).expect("a configuration");
        assert_eq!(read.catalogue, Some(catalogue), "{versions:?}");
    }
}
