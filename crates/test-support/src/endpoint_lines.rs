//! Endpoint entries in the line format that operators write to a control process.

use bellsill_directory::line::EndpointState;

/// Returns the line for endpoint `number`, which is the only endpoint of the destination with the same number.
pub fn entry(number: u64, state: EndpointState) -> String {
    let state = serde_json::to_string(&state).expect("a state");
    let port = 1000 + number % 60_000;
    format!(
        "{{\"id\":\"endpoint-{number}\",\"addr\":\"10.0.0.1:{port}\",\"zone\":\"north-1\",\"kind\":\"plain\",\
         \"cell\":{number},\"state\":{state}}}\n"
    )
}

/// Returns the lines for a range of endpoints, all in the same state.
pub fn entries(numbers: std::ops::Range<u64>, state: EndpointState) -> String {
    numbers.map(|number| entry(number, state)).collect()
}
