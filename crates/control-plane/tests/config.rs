//! Defaults of the configuration file, and the errors that operators see.

use bellsill_control_plane::config::{Config, Role};

const VALID: &str = "\
name = \"control-1\"
listen = \"127.0.0.1:7400\"
state = \"state\"
role = \"writer\"
[[zones]]
name = \"north-1\"
region = \"north\"
";

#[test]
fn omitted_fields_have_their_defaults() {
    let config = Config::parse(VALID).expect("a configuration");
    assert_eq!(config.role, Role::Leader);
    assert_eq!(config.restart_grace.as_secs(), 30);
    assert_eq!(config.fill_rate_limit.bytes_per_second, 8192);
    assert_eq!(
        config.layout.buckets_per_region(),
        bellsill_placement::DEFAULT_BUCKETS_PER_REGION
    );
}

#[test]
fn a_follower_is_configured_with_the_address_of_its_leader() {
    let text = VALID.replace(
        "role = \"writer\"",
        "role = \"follower\"\nwriter = \"10.0.0.1:7400\"",
    );
    let leader = "10.0.0.1:7400".parse().expect("an address");
    assert_eq!(
        Config::parse(&text).expect("a configuration").role,
        Role::Follower { leader }
    );
}

#[test]
fn errors_name_the_invalid_field() {
    let with = |line: &str| VALID.replace("[[zones]]", &format!("{line}\n[[zones]]"));
    for (text, expected) in [
        (VALID.replace("\"writer\"", "\"follower\""), "field writer"),
        (VALID.replace("\"writer\"", "\"reader\""), "reader"),
        (with("writer = \"10.0.0.1:7400\""), "field writer"),
        (
            with("restart_grace_seconds = 0"),
            "field restart_grace_seconds",
        ),
        (
            with("fill_bytes_per_second = 0"),
            "field fill_bytes_per_second",
        ),
        (with("buckets_per_region = 0"), "buckets_per_region"),
        (
            with("buckets_per_region = 1000000"),
            "field buckets_per_region",
        ),
        (with("colour = \"blue\""), "colour"),
        (VALID.replace("control-1", "two words"), "field name"),
        (VALID.replace("\"north-1\"", "\"\""), "field zones"),
        (VALID.replace("127.0.0.1:7400", "here"), "listen"),
        (
            format!("{VALID}[[zones]]\nname = \"north-1\"\nregion = \"south\"\n"),
            "north-1",
        ),
    ] {
        let error = Config::parse(&text).expect_err(expected).to_string();
        assert!(error.contains(expected), "{expected}: {error}");
    }
}
