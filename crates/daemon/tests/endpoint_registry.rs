//! The endpoint registry.

use bellsill_daemon::endpoint::EndpointRegistry;
use bellsill_daemon::endpoint_list::ListedEndpoint;

/// Builds a list entry.
fn listed(name: &str, destination: u64) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_string(),
        addr: None,
        zone: "a".into(),
        kind: "shops".into(),
        destination,
        serving: true,
        weight: None,
        rate: None,
    }
}

#[test]
fn the_row_of_a_removed_endpoint_is_reused() {
    let mut endpoints = EndpointRegistry::default();
    let addr = "127.0.0.1:1".parse().unwrap();
    let permanent = endpoints.register(&listed("permanent", 1), addr);
    for n in 0..1000 {
        let id = endpoints.register(&listed(&format!("e{n}"), 2), addr);
        assert_eq!(endpoints.register(&listed(&format!("e{n}"), 2), addr), id);
        assert!(id != permanent && endpoints.ids().count() <= 2 && endpoints.has_destination(2));
        endpoints.remove(id);
        assert!(
            endpoints.find(&format!("e{n}")).is_none()
                && !endpoints.has_destination(2)
                && endpoints.has_destination(1)
        );
    }
}
