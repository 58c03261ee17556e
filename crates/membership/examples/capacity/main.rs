//! Measures the traffic and processor time of a node by the size of the deployment, and the traffic
//! during bursts of changes.
//!
//! `cargo run --release -p monsoon-membership --example capacity -- SEED PART`, where PART is
//! `slopes`, `large`, `full`, `bursts`, `cut` or `quick`.

mod bursts;
mod cluster;
mod fit;
mod slopes;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seed = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let part = arguments.next().unwrap_or_else(|| "quick".to_owned());
    println!("seed {seed}, part {part}");
    match part.as_str() {
        "slopes" => slopes::run(seed, &[5, 10, 20, 40, 86], &[1, 2, 3, 4, 5, 6, 7]),
        "large" => slopes::full(seed, 3),
        "full" => slopes::full(seed, 7),
        "bursts" => bursts::run(seed),
        "cut" => bursts::partition(seed, 3_600),
        "quick" => slopes::run(seed, &[5, 10, 20, 30], &[1, 2, 3, 4]),
        other => eprintln!("unknown part {other}; use slopes, large, full, bursts, cut or quick"),
    }
}
