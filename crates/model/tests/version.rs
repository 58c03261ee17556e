//! Order and text of numbers and versions, and their form in messages.

use monsoon_model::{ExactVersions, Number, NumberError, Version, VersionError, Versions};

/// Largest number of a packed version.
const MAX_PACKED: u64 = (1 << 44) - 1;

fn number(text: &str) -> Number {
    text.parse().expect("a number")
}

fn version(era: u64, text: &str) -> Version {
    Version::new(era, number(text))
}

/// Versions in ascending order, with the largest and the least usual values.
fn ordered() -> Vec<Version> {
    [
        (0, "-1e300"),
        (0, "-20261207010203"),
        (0, "-0.5"),
        (0, "0"),
        (0, "1e-300"),
        (0, "0.0000001"),
        (0, "0.25"),
        (0, "1"),
        (0, "7.5"),
        (0, "9"),
        (0, "10"),
        (0, "17592186044414"),
        (0, "17592186044415"),
        (0, "17592186044416"),
        (0, "20261207010203"),
        (0, "9007199254740993"),
        (0, "9007199254740994"),
        (0, "9223372036854775808"),
        (0, "18446744073709551615"),
        (0, "18446744073709551616"),
        (0, "20261207010203123456789"),
        (0, "99999999999999999999999999999999999"),
        (0, "1e300"),
        (1, "0"),
        (1, "9"),
        (2, "1"),
        (1_048_575, "17592186044415"),
        (1_048_576, "1"),
        (u64::MAX, "1e300"),
    ]
    .map(|(era, text)| version(era, text))
    .to_vec()
}

/// Guards against a change that counts as older because its version is large, negative or a
/// fraction, or after a restore, because its revision is lower.
#[test]
fn versions_are_ordered_by_era_first() {
    assert!(ordered().is_sorted_by(|a, b| a < b));
    assert!(ordered().iter().all(|&version| Version::NONE < version));
    let versions = |document| Versions {
        document,
        evacuations: version(1, "4"),
    };
    assert!(versions(version(2, "1")).is_ahead_of(versions(version(1, "9"))));
    assert!(!versions(version(1, "9")).is_ahead_of(versions(version(2, "1"))));
}

/// Guards against two spellings of one number that count as two versions, and against a number
/// that the store does not read as the one that it wrote.
#[test]
fn a_number_has_one_text() {
    let texts = [
        ("12.0", "12"),
        ("1.2e1", "12"),
        ("120E-1", "12"),
        ("1e+3", "1000"),
        ("-0", "0"),
        ("0.0e9", "0"),
        ("20261207010203", "20261207010203"),
        ("2.0261207010203e13", "20261207010203"),
        ("18446744073709551616", "18446744073709551616"),
        ("-7.50", "-7.5"),
        ("0.00250", "0.0025"),
        ("1e-9", "1e-9"),
        ("-1.25E40", "-1.25e40"),
        ("1e39", "1000000000000000000000000000000000000000"),
    ];
    for (text, canonical) in texts {
        assert_eq!(number(text).to_string(), canonical, "{text}");
        assert_eq!(number(canonical), number(text), "{text}");
    }
    for value in [0, 1, 9, 10, 4_096, 1 << 44, 1 << 53, u64::MAX - 1, u64::MAX] {
        assert_eq!(Number::of(value), number(&value.to_string()));
        assert_eq!(Number::of(value).saturating_u64(), value);
    }
    let integers = ["-3", "0.9", "7.5", "18446744073709551616", "1e30", "1e300"];
    assert_eq!(
        integers.map(|text| number(text).saturating_u64()),
        [0, 0, 7, u64::MAX, u64::MAX, u64::MAX]
    );
}

/// Guards against a text that is read as another number than it says.
#[test]
fn what_is_no_json_number_is_rejected() {
    let texts = [
        "", "-", "+1", "01", "1.", ".5", "1e", "1e+", "1e1.5", "0x10", "1_000", " 1", "NaN", "٣",
        "\"12\"", "null", "--1",
    ];
    for text in texts {
        assert_eq!(text.parse::<Number>(), Err(NumberError::Syntax), "{text}");
    }
    let digits = "1234567890123456789012345678901234567";
    assert_eq!(
        digits.parse::<Number>(),
        Err(NumberError::Digits { digits: 37 })
    );
    for text in ["1e99999999999999999999", "1e-9999999999999"] {
        assert_eq!(text.parse::<Number>(), Err(NumberError::Exponent), "{text}");
    }
}

/// Guards against a process of a former release that reads a version as another one.
#[test]
fn packed_versions_are_those_of_former_releases() {
    assert_eq!(Version::of(7).packed(), 7);
    assert_eq!(version(3, "7").packed(), (3 << 44) | 7);
    assert_eq!(Version::from_packed((3 << 44) | 7), version(3, "7"));
    assert_eq!(version(0, "20261207010203").packed(), MAX_PACKED);
    assert_eq!(version(2, "1e30").packed(), (2 << 44) | MAX_PACKED);
    assert_eq!(version(1 << 20, "1").packed(), u64::MAX);
    assert_eq!(Version::NONE.packed(), 0);
    assert_eq!(Version::from_packed(0), Version::NONE);
    let binary = postcard::to_stdvec(&version(3, "7")).expect("an integer");
    assert_eq!(
        binary,
        postcard::to_stdvec(&((3_u64 << 44) | 7)).expect("an integer")
    );
}

/// Guards against a process of a former release that takes an older version for a newer one, and
/// against a rounded version that is sent as if it were exact.
#[test]
fn packed_versions_are_rounded_down() {
    let ordered = ordered();
    assert!(ordered.is_sorted_by_key(|version| version.packed()));
    for version in ordered {
        let rounded = Version::from_packed(version.packed());
        assert!(rounded <= version, "{version}");
        assert!(!version.is_packable() || rounded == version, "{version}");
    }
    assert!(version(1_048_575, "17592186044414").is_packable());
    for text in ["0", "17592186044415", "20261207010203", "7.5", "-1"] {
        assert!(!version(0, text).is_packable(), "{text}");
    }
}

/// Guards against a version that is read as another one from a log, a query or a message.
#[test]
fn the_text_of_a_version_is_read_as_the_same_version() {
    assert_eq!(version(0, "7").to_string(), "7");
    assert_eq!(version(3, "7").to_string(), "3.7");
    assert_eq!(version(0, "1.7").to_string(), "0.1.7");
    assert_eq!(version(0, "-2").to_string(), "0.-2");
    assert_eq!("none".parse(), Ok(Version::NONE));
    assert_eq!(Version::NONE.to_string(), "none");
    for version in ordered() {
        assert_eq!(version.to_string().parse(), Ok(version));
        let versions = Versions {
            document: version,
            evacuations: Version::of(3),
        };
        let binary = postcard::to_stdvec(&ExactVersions(versions)).expect("two texts");
        assert_eq!(postcard::from_bytes(&binary), Ok(ExactVersions(versions)));
        let json = serde_json::to_string(&versions).expect("numbers or texts");
        assert_eq!(serde_json::from_str::<Versions>(&json).ok(), Some(versions));
    }
    let (era, syntax) = (VersionError::Era, VersionError::Number(NumberError::Syntax));
    for (text, error) in [("x.1", era), ("-1.1", era), ("1.x", syntax), ("", syntax)] {
        assert_eq!(text.parse::<Version>(), Err(error), "{text}");
    }
}
