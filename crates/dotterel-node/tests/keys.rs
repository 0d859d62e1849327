//! Tests of the API keys of a configuration.

use dotterel_node::config::ActiveConfig;
use dotterel_node::keys::KeyRing;
use dotterel_node::routes::{Configuration, RequestLimits, SecretBytes};

const KEY: &str = "k-4fd1b2c07e";

#[test]
fn a_key_identifies_its_tenant() {
    let ring = KeyRing::new([("k-1", "red"), ("k-2", "blue"), ("k-3", "red")]);

    assert_eq!(ring.len(), 3);
    assert_eq!(ring.tenant(b"k-1"), Some("red"));
    assert_eq!(ring.tenant(b"k-2"), Some("blue"));
    assert_eq!(ring.tenant(b"k-3"), Some("red"));
    assert_eq!(ring.tenant(b"k-4"), None);
    assert_eq!(ring.tenant(b"k-"), None);
    assert_eq!(ring.tenant(b"\xff\xfe"), None);
}

/// Guards against a configuration with an empty key, which would open its routes to callers that send none.
#[test]
fn an_empty_key_is_never_valid() {
    let ring = KeyRing::new([("", "red"), ("k-1", "blue")]);

    assert_eq!(ring.tenant(b""), None);
    assert_eq!(ring.len(), 1);
}

/// Guards against a key whose tenant depends on the random hash.
#[test]
fn a_key_of_two_tenants_belongs_to_the_first() {
    let ring = KeyRing::new([("k-1", "red"), ("k-2", "blue"), ("k-1", "blue")]);

    assert_eq!(ring.tenant(b"k-1"), Some("red"));
}

/// Guards against keys in logs: a configuration that is printed for debugging shows none.
#[test]
fn debug_output_shows_no_key() {
    let config = Configuration {
        keys: KeyRing::new([(KEY, "red")]),
        row: SecretBytes(KEY.as_bytes().into()),
        checks_keys: true,
        ..Configuration::new(3, Vec::new(), RequestLimits::default())
    };

    let shown = format!("{config:?} {config:#?}");

    assert!(!shown.contains(KEY), "{shown}");
    // The bytes of the key as a list of numbers.
    assert!(!shown.contains("107, 45"), "{shown}");
    assert!(shown.contains("KeyRing { keys: 1 }"), "{shown}");
}

/// Guards against a version without a list of tenants that opens all routes to callers with any key.
#[test]
fn keys_stay_checked_once_a_configuration_had_tenants() {
    let with_keys = Configuration {
        keys: KeyRing::new([(KEY, "red")]),
        checks_keys: true,
        ..Configuration::new(3, Vec::new(), RequestLimits::default())
    };
    let without = Configuration::new(4, Vec::new(), RequestLimits::default());
    let (guarded, open) = (ActiveConfig::default(), ActiveConfig::default());

    assert!(guarded.apply(with_keys, "test") && guarded.apply(without.clone(), "test"));
    assert!(open.apply(without, "test"));

    let checks_keys = |active: &ActiveConfig| active.current().map(|config| config.checks_keys);
    assert_eq!(checks_keys(&guarded), Some(true));
    assert_eq!(checks_keys(&open), Some(false));
}
