//! Measures the time to bring a document into force by the number of its services.

use std::fmt::Write;

use divan::Bencher;
use monsoon_config::{ConfigState, OfferResult};
use monsoon_model::Version;

fn main() {
    divan::main();
}

/// Document of one data centre and `services` services with one class each.
fn document(services: u32) -> String {
    let mut text =
        "tenant = \"t\"\n[[data_centre]]\nname = \"a\"\nnumber = 1\nregion = \"r\"\n".to_owned();
    for number in 1..=services {
        let address = format!("198.18.{}.{}:443", number / 256, number % 256);
        let result = write!(
            text,
            "[[service]]\nname = \"s-{number}\"\nnumber = {number}\naddresses = [\"{address}\"]\n\
             slots = 4\nconnections = 2000\ncold_share = 0.1\n[[service.class]]\nname = \"hold\"\n\
             method = \"POST\"\npath = \"/holds\"\nidempotent = false\nweight = 1\n\
             deadline_ms = 2000\n"
        );
        result.expect("a string can be written to");
    }
    text
}

/// Parses and checks a document and brings it into force.
#[divan::bench(args = [10, 90, 180, 360])]
fn apply(bencher: Bencher<'_, '_>, services: u32) {
    let text = document(services);
    bencher.bench_local(|| {
        let mut state = ConfigState::default();
        assert_eq!(
            state.offer_document(Version::of(1), &text),
            OfferResult::Accepted
        );
        state
    });
}
