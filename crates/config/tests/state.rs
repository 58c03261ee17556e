//! Tests of the configuration in force, the choice of a class, and differences of documents.

use monsoon_config::{ConfigState, Document, Evacuations, OfferResult, diff};
use monsoon_model::{ClassKey, DataCentreId, Version, hash};

const EXAMPLE: &str = include_str!("../../../examples/karavanex.toml");

/// Guards against returning to an older version after repeated, reordered or faulty texts, and
/// against a faulty text that changes anything. Seeds 1 to 64, 200 offers each.
#[test]
fn versions_never_go_back() {
    for seed in 1..=64 {
        let mut state = ConfigState::default();
        let mut offers = 0;
        for step in 0..200 {
            let word = hash::mix(seed, step);
            let version = Version::of(word % 40);
            let before = state.clone();
            let is_valid = word & (1 << 20) != 0;
            let offer = if word & (1 << 21) == 0 {
                let text =
                    EXAMPLE.replace("slots = 4", &format!("slots = {}", version.packed() + 1));
                state.offer_document(version, if is_valid { &text } else { "slots =" })
            } else {
                state.offer_evacuations(
                    version,
                    if is_valid {
                        "out = [\"brno-b\"]"
                    } else {
                        "in = 1"
                    },
                )
            };
            offers += 1;
            assert!(
                !before.versions().is_ahead_of(state.versions()),
                "seed {seed} step {step}"
            );
            if offer != OfferResult::Accepted {
                assert_eq!(
                    before.versions(),
                    state.versions(),
                    "seed {seed} step {step}"
                );
                assert_eq!(before.document_text(), state.document_text());
                assert_eq!(before.evacuations_text(), state.evacuations_text());
            }
            if let Some(document) = state.document() {
                let service = document
                    .service_named("prodejna")
                    .expect("service is listed");
                assert_eq!(
                    u64::from(service.slots),
                    state.versions().document.packed() + 1
                );
            }
        }
        let counters = state.counters();
        let counted = counters.accepted + counters.same + counters.stale + counters.rejected;
        assert_eq!(counted, offers);
    }
}

/// Guards against names of evacuated data centres that are resolved only once: the document that
/// lists them may arrive later.
#[test]
fn evacuated_data_centres_follow_document_and_set() {
    let mut state = ConfigState::default();
    let evacuations = Evacuations {
        data_centres: ["brno-b".to_owned(), "praha".to_owned()].into(),
    };
    assert_eq!(
        state.offer_evacuations(Version::of(4), &evacuations.to_text()),
        OfferResult::Accepted
    );
    assert!(state.evacuated().is_empty());
    assert_eq!(
        state.offer_document(Version::of(9), EXAMPLE),
        OfferResult::Accepted
    );
    assert_eq!(state.evacuated(), [DataCentreId(2)].into());
    assert_eq!(
        state.offer_evacuations(Version::of(4), "out = []"),
        OfferResult::Same
    );
    assert_eq!(
        state.offer_evacuations(Version::of(3), "out = []"),
        OfferResult::Stale
    );
    assert_eq!(state.evacuated(), [DataCentreId(2)].into());
}

/// Guards against a class chosen by a shorter prefix or by the order of the list.
#[test]
fn longest_prefix_of_the_method_wins() {
    let text = EXAMPLE
        .replace("path = \"/holds\"", "path = \"/board/holds\"")
        .replace("POST", "GET");
    let document = Document::parse(&text).expect("text parses");
    let service = document
        .service_named("prodejna")
        .expect("service is listed");
    assert_eq!(service.class_of("GET", "/board/holds/7"), Some(ClassKey(1)));
    assert_eq!(service.class_of("GET", "/board/7"), Some(ClassKey(0)));
    assert_eq!(service.class_of("PUT", "/board/7"), None);
}

/// Guards against a difference that isn't shown to operators before they apply a document.
#[test]
fn diff_shows_every_difference() {
    let old = Document::parse(EXAMPLE).expect("example parses");
    assert!(diff(&old, &old).is_empty());
    let start = EXAMPLE
        .find("[[service]]\nname = \"dilna\"")
        .expect("example lists dilna");
    let text = EXAMPLE[..start]
        .replace("slots = 4", "slots = 6")
        .replace("192.0.2.2", "192.0.2.9")
        .replace("region = \"morava\"", "region = \"cechy\"")
        .replace("name = \"upload\"", "name = \"photo\"")
        .replace("deadline_ms = 2000", "deadline_ms = 1500")
        + "[[retired_service]]\nname = \"dilna\"\nnumber = 2\n";
    let new = Document::parse(&text).expect("text parses");
    let lines: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
