//! Settings as operators write them.

use dotterel_kernel::Millis;
use dotterel_node::Settings;

const GOOD: &str = r#"
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

fn fault(text: &str) -> String {
    Settings::parse(text).expect_err("it is faulty").to_string()
}

#[test]
fn sound_settings_are_taken() {
    let settings = Settings::parse(GOOD).expect("they are sound");

    assert_eq!(settings.milli_cores, 250);
    assert_eq!(settings.limits.lease_ttl, Millis(4000));
    assert_eq!(settings.grace, Millis(6000));
}

#[test]
fn a_lease_is_never_longer_than_the_platform_allows() {
    let settings = Settings::parse(&GOOD.replace("6000", "2000")).expect("they are sound");

    assert_eq!(settings.limits.lease_ttl, Millis(2000));
}

#[test]
fn each_fault_names_its_field() {
    assert!(fault(&GOOD.replace("\"127.0.0.1:8161\"", "\"here\"")).contains("front"));
    assert!(fault(&GOOD.replace("\"entry-1\"", "\"\"")).contains("node"));
    assert!(fault(&GOOD.replace("6000", "100")).contains("lease_max_ms"));
    assert!(fault(&GOOD.replace("grace_s", "graze_s")).contains("graze_s"));
    assert!(fault(&GOOD.replace("grace_s = 6.0", "grace_s = -1.0")).contains("grace_s"));
    assert!(fault("no toml").contains("expected"));
}
