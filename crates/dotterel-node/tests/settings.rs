//! Parsing and validation of settings files.

use dotterel_kernel::Millis;
use dotterel_node::Settings;

const VALID: &str = r#"
    node = "entry-1"
    ip = "127.0.0.1"
    peer_port = 7720
    front = "127.0.0.1:8161"
    ready = "127.0.0.1:8167"
    cpu_share = 0.25
    [platform]
    store = "127.0.0.1:8169"
    [bounds]
    lease_max_ms = 6000
    grace_s = 6.0
"#;

fn parse_error(text: &str) -> String {
    Settings::parse(text)
        .expect_err("the settings are invalid")
        .to_string()
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse(VALID).expect("the settings are valid");

    assert_eq!(settings.milli_cores, 250);
    assert_eq!(settings.limits.lease_ttl, Millis(4000));
    assert_eq!(settings.grace, Millis(6000));
}

/// Guards against placement that changes without the operator's wish.
#[test]
fn tasks_are_kept_apart_only_if_the_settings_say_so() {
    let off = Settings::parse(VALID).expect("the settings are valid");
    let on = VALID.replace("cpu_share", "keep_apart = true\n    cpu_share");
    let on = Settings::parse(&on).expect("the settings are valid");

    assert!(!off.limits.keep_apart);
    assert!(on.limits.keep_apart);
}

#[test]
fn the_lease_never_exceeds_the_platform_maximum() {
    let settings = Settings::parse(&VALID.replace("6000", "2000")).expect("the settings are valid");

    assert_eq!(settings.limits.lease_ttl, Millis(2000));
}

/// Guards against gangs that wait for a rack longer, or less long, than it is worth.
#[test]
fn the_factor_of_several_racks_is_the_platform_s() {
    let known = VALID.replace("grace_s", "cross_rack_factor = 1.5\n    grace_s");
    let known = Settings::parse(&known).expect("the settings are valid");
    let unknown = Settings::parse(VALID).expect("the settings are valid");

    assert_eq!(known.limits.cross_rack_pct, 150);
    assert_eq!(unknown.limits.cross_rack_pct, 200);
}

#[test]
fn errors_name_the_invalid_field() {
    let factor = VALID.replace("grace_s", "cross_rack_factor = 0.5\n    grace_s");
    assert!(parse_error(&factor).contains("cross_rack_factor"));
    assert!(parse_error(&VALID.replace("\"127.0.0.1:8161\"", "\"here\"")).contains("front"));
    assert!(parse_error(&VALID.replace("\"entry-1\"", "\"\"")).contains("node"));
    assert!(parse_error(&VALID.replace("6000", "100")).contains("lease_max_ms"));
    assert!(parse_error(&VALID.replace("grace_s", "graze_s")).contains("graze_s"));
    assert!(parse_error(&VALID.replace("grace_s = 6.0", "grace_s = -1.0")).contains("grace_s"));
    assert!(parse_error("no toml").contains("expected"));
}

#[test]
fn other_nodes_are_optional() {
    let settings = Settings::parse(VALID).expect("the settings are valid");

    assert_eq!(settings.peer.to_string(), "127.0.0.1:7720");
    assert!(settings.peers.is_empty());
}

#[test]
fn other_nodes_are_named_by_address() {
    let text = format!("peer = \"10.1.0.13:8166\"\npeers = [\"10.2.0.30:8166\"]\n{VALID}");
    let settings = Settings::parse(&text).expect("the settings are valid");

    assert_eq!(settings.peer.to_string(), "10.1.0.13:8166");
    assert_eq!(settings.peers[0].to_string(), "10.2.0.30:8166");
    assert!(parse_error(&text.replace("10.2.0.30:8166", "10.2.0.30")).contains("peers"));
    assert!(parse_error(&text.replace("10.1.0.13:8166", "entry-1")).contains("peer"));
}
