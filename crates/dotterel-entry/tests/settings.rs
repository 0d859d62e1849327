//! Settings are validated before the node starts.

use std::path::PathBuf;
use std::process::{Command, Output};

use dotterel_entry::Settings;
use dotterel_kernel::Millis;
use dotterel_mesh::keys::Authority;

fn valid_settings() -> String {
    let authority = Authority::generate().expect("an authority can be generated");
    let keys = authority
        .issue(&"entry-1".into())
        .expect("keys can be issued");
    format!(
        "node = \"entry-1\"\n\
         data_centre = \"sabana-a1\"\n\
         region = \"sabana-a\"\n\
         platform = \"127.0.0.1:9400\"\n\
         [http]\n\
         listen = \"127.0.0.1:8080\"\n\
         [mesh]\n\
         listen = \"127.0.0.1:7400\"\n\
         certificate = '''{}'''\n\
         key = '''{}'''\n\
         authorities = '''{}'''\n",
        keys.certificate,
        keys.key,
        authority.pem()
    )
}

/// Runs `dotterel-entry --check-config` on a file with this text.
fn check_config(text: &str) -> Output {
    let name = format!("dotterel-settings-{}.toml", uuid::Uuid::now_v7());
    let file: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("the temporary directory is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_dotterel-entry"))
        .arg("--check-config")
        .arg(&file)
        .output()
        .expect("the binary is built");
    let _ = std::fs::remove_file(&file);
    output
}

#[test]
fn omitted_settings_have_defaults() {
    let settings = Settings::parse(&valid_settings()).expect("the settings are valid");

    assert_eq!(settings.http.body_limit, 1 << 20);
    assert_eq!(settings.grace_period, Millis::secs(60));
    assert_eq!(settings.log.level, log::LevelFilter::Info);
    assert_eq!(settings.plugins.len(), dotterel_policies::STANDARD.len());
}

#[test]
fn errors_name_the_field_the_value_and_the_allowed_values() {
    let valid = valid_settings();
    let cases = [
        ("node = \"entry-1\"", "node = \"Entry\"", "node"),
        ("127.0.0.1:9400", "platform:9400", "platform"),
        ("127.0.0.1:8080", "8080", "http.listen"),
        (
            "[mesh]",
            "body_limit_bytes = 0\n[mesh]",
            "http.body_limit_bytes",
        ),
        (
            "[mesh]",
            "[policy]\nplugins = [\"magic\"]\n[mesh]",
            "policy.plugins",
        ),
        ("[mesh]", "[log]\nlevel = \"loud\"\n[mesh]", "log.level"),
        ("[mesh]", "[log]\nformat = \"xml\"\n[mesh]", "log.format"),
        ("[mesh]", "[lease]\nttl_ms = 1\n[mesh]", "lease.ttl_ms"),
        (
            "[mesh]",
            "[shutdown]\ngrace_ms = 0\n[mesh]",
            "shutdown.grace_ms",
        ),
        ("[mesh]", "[colour]\n[mesh]", "settings"),
        ("node = \"entry-1\"", "node = \"entry-2\"", "mesh"),
    ];

    for (from, to, field) in cases {
        let err = Settings::parse(&valid.replacen(from, to, 1)).expect_err(to);
        assert_eq!(err.field, field, "{err}");
        assert!(!err.value.is_empty() && !err.allowed.is_empty(), "{err}");
    }
}

#[test]
fn check_config_exits_with_0_for_valid_settings_and_3_otherwise() {
    let valid = valid_settings();

    let accepted = check_config(&valid);
    let rejected = check_config(&valid.replace("[http]\nlisten", "[http]\nlistens"));
    let help = Command::new(env!("CARGO_BIN_EXE_dotterel-entry"))
        .arg("--help")
        .output()
        .expect("the binary is built");

    assert_eq!(accepted.status.code(), Some(0), "{accepted:?}");
    assert_eq!(rejected.status.code(), Some(3), "{rejected:?}");
    assert!(
        String::from_utf8_lossy(&rejected.stderr).contains("listens"),
        "{rejected:?}"
    );
    assert!(String::from_utf8_lossy(&help.stdout).contains("Examples:"));
}
