//! Processor time and memory for configuration documents.

use std::fmt::Write as _;

use monsoon_config::{ConfigState, Document, OfferResult};
use monsoon_model::Version;

use super::fit::Series;
use super::probe;

const SIZES: [usize; 5] = [10, 90, 180, 270, 360];
const COPIES: usize = 40;
const SIZE: &str = "services";

/// Part whose memory a child process measures: a configuration in force.
pub const PART: &str = "configuration";

/// Text of a document with 7 data centres and `services` services of one address and two classes.
pub fn text(services: usize) -> String {
    let mut document = "tenant = \"karavanex\"\n".to_owned();
    for number in 1..=7 {
        let region = number % 3;
        let _ = write!(
            document,
            "\n[[data_centre]]\nname = \"place-{number}\"\nnumber = {number}\n\
             region = \"region-{region}\"\n"
        );
    }
    for number in 1..=services {
        let (high, low) = (number / 256, number % 256);
        let _ = write!(
            document,
            "\n[[service]]\nname = \"service-{number}\"\nnumber = {number}\n\
             addresses = [\"198.18.{high}.{low}:443\"]\nslots = 4\nconnections = 2000\n\
             cold_share = 0.1\n\
             \n[[service.class]]\nname = \"board\"\nmethod = \"GET\"\npath = \"/board\"\n\
             stream = true\nidempotent = true\nweight = 1\n\
             \n[[service.class]]\nname = \"hold\"\nmethod = \"POST\"\npath = \"/holds\"\n\
             idempotent = false\nweight = 1\ndeadline_ms = 2000\n"
        );
    }
    document
}

/// Configuration state with the document in force.
fn accepted(text: &str) -> ConfigState {
    let mut state = ConfigState::default();
    let offer = state.offer_document(Version::of(1), text);
    assert_eq!(
        offer,
        OfferResult::Accepted,
        "the measured document was not accepted"
    );
    state
}

/// Memory of a configuration in force, in bytes.
pub fn bytes(services: usize) -> f64 {
    let text = text(services);
    probe::growth(COPIES, || accepted(&text))
}

pub fn measure() -> Vec<Series> {
    let length = |size| text(size).len() as f64;
    vec![
        Series::new("document text, bytes", SIZE, SIZES, length),
        Series::new("document parse, µs", SIZE, SIZES, |size| {
            let text = text(size);
            probe::least_micros(|| Document::parse(&text))
        }),
        Series::new("configuration accepted, µs", SIZE, SIZES, |size| {
            let text = text(size);
            probe::least_micros(|| accepted(&text))
        }),
        Series::new("configuration held, bytes", SIZE, SIZES, |size| {
            probe::growth_in_child(PART, size)
        }),
    ]
}
