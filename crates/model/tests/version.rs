//! Order, range and text of versions.

use monsoon_model::{Version, VersionError, Versions};

fn version(era: u64, number: u64) -> Version {
    Version::new(era, number).expect("in range")
}

/// Guards against a change after a restore that counts as older, because its revision is lower.
#[test]
fn versions_are_ordered_by_era_first() {
    let ordered = [
        version(0, 0),
        version(0, 9),
        version(0, Version::MAX_NUMBER),
        version(1, 0),
        version(1, 9),
        version(2, 1),
        version(Version::MAX_ERA, Version::MAX_NUMBER),
    ];
    assert!(ordered.is_sorted_by(|a, b| a < b));
    let versions = |document| Versions {
        document,
        evacuations: version(1, 4),
    };
    assert!(versions(version(2, 1)).is_ahead_of(versions(version(1, 9))));
    assert!(!versions(version(1, 9)).is_ahead_of(versions(version(2, 1))));
}

/// Guards against a process of another release that reads a version of era 0 as another one.
#[test]
fn a_version_of_era_zero_is_its_number() {
    assert_eq!(version(0, 7), Version(7));
    assert_eq!(version(0, 7).to_string(), "7");
    assert_eq!(version(3, 7), Version((3 << 44) | 7));
    assert_eq!(version(3, 7).to_string(), "3.7");
    assert_eq!((version(3, 7).era(), version(3, 7).number()), (3, 7));
}

/// Guards against a number that is taken for an era.
#[test]
fn values_out_of_range_are_rejected() {
    let (era, number) = (Version::MAX_ERA, Version::MAX_NUMBER);
    assert!(Version::new(era, number).is_ok());
    let limit = era;
    let error = VersionError::Era {
        era: era + 1,
        limit,
    };
    assert_eq!(Version::new(era + 1, 0), Err(error));
    let limit = number;
    let error = VersionError::Number {
        number: number + 1,
        limit,
    };
    assert_eq!(Version::new(0, number + 1), Err(error));
}
