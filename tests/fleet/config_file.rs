//! Tests of the config file of an entry.

use std::path::Path;

use curranthollow::fleet::config::{FleetConfig, FleetRole};
use curranthollow::fleet::file::read_config;
use yare::parameterized;

use crate::harness::unique_path;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config/fleet-entry-1.jsonc");

fn line_speed(config: &FleetConfig) -> Option<f64> {
    match &config.role {
        FleetRole::Entry(entry) => entry.line_mbps,
        FleetRole::Control(_) => None,
    }
}

/// Reads the example with another text for the speed of the line.
fn read_with(line: &str) -> Result<FleetConfig, String> {
    let text = std::fs::read_to_string(EXAMPLE).expect("the example exists");
    let path = unique_path().with_extension("jsonc");
    let changed = text.replace("\"line_mbps\": 1000,", line);
    assert_ne!(changed, text, "the example has no speed");
    std::fs::write(&path, changed).expect("the folder is writable");
    let config = read_config(&path);
    std::fs::remove_file(&path).expect("the file exists");
    config.map_err(|error| error.to_string())
}

/// Guards against a speed that is ignored, or required.
#[test]
fn the_line_speed_is_read() {
    let config = read_config(Path::new(EXAMPLE)).expect("the example is valid");
    assert_eq!(line_speed(&config), Some(1000.0));
    assert_eq!(read_with("\"line_mbps\": 2.5,").map(|config| line_speed(&config)), Ok(Some(2.5)));
    assert_eq!(read_with("").map(|config| line_speed(&config)), Ok(None));
}

/// Guards against a speed that would stop all long bodies.
#[parameterized(
    zero = { "0" },
    negative = { "-2" },
)]
fn an_invalid_line_speed_is_refused(speed: &str) {
    let error = read_with(&format!("\"line_mbps\": {speed},")).err();
    assert_eq!(error.as_deref(), Some("entry.line_mbps must be above 0"));
}

/// Guards against prices of traffic between zones that are ignored, or below 0: such a price would send
/// away what its own zone could serve.
#[test]
fn the_prices_of_zone_traffic_are_read() {
    let read = |request_price: &str| {
        let prices = format!("{{\"request_price\": {request_price}, \"mib_price\": 2}}");
        read_with(&format!("\"zone_traffic\": {prices},"))
    };
    let prices = |config: FleetConfig| match config.role {
        FleetRole::Entry(entry) => Some((entry.way_prices.request, entry.way_prices.mib)),
        FleetRole::Control(_) => None,
    };
    assert_eq!(read("0.5").map(prices), Ok(Some((0.5, 2.0))));
    let error = read("-1").err();
    let expected = "entry.zone_traffic.request_price is no number from 0 on";
    assert_eq!(error.as_deref(), Some(expected));
}
