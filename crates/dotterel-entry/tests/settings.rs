//! Settings are checked before anything starts.

use std::path::PathBuf;
use std::process::{Command, Output};

use dotterel_entry::Settings;
use dotterel_kernel::Millis;
use dotterel_mesh::keys::Authority;

fn sound() -> String {
    let authority = Authority::generate().expect("an authority is made");
    let keys = authority.issue(&"entry-1".into()).expect("keys are made");
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

fn check(text: &str) -> Output {
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
fn what_is_left_out_has_a_default() {
    let settings = Settings::parse(&sound()).expect("the settings are sound");

    assert_eq!(settings.http.body_limit, 1 << 20);
    assert_eq!(settings.grace_period, Millis::secs(60));
    assert_eq!(settings.log.level, log::LevelFilter::Info);
    assert_eq!(settings.plugins.len(), dotterel_policies::STANDARD.len());
}

#[test]
fn a_fault_names_the_field_the_value_and_what_is_allowed() {
    let sound = sound();
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
        let fault = Settings::parse(&sound.replacen(from, to, 1)).expect_err(to);
        assert_eq!(fault.field, field, "{fault}");
        assert!(
            !fault.value.is_empty() && !fault.allowed.is_empty(),
            "{fault}"
        );
    }
}

#[test]
fn check_config_tells_by_its_exit_code() {
    let sound = sound();

    let good = check(&sound);
    let bad = check(&sound.replace("[http]\nlisten", "[http]\nlistens"));
    let help = Command::new(env!("CARGO_BIN_EXE_dotterel-entry"))
        .arg("--help")
        .output()
        .expect("the binary is built");

    assert_eq!(good.status.code(), Some(0), "{good:?}");
    assert_eq!(bad.status.code(), Some(3), "{bad:?}");
    assert!(
        String::from_utf8_lossy(&bad.stderr).contains("listens"),
        "{bad:?}"
    );
    assert!(String::from_utf8_lossy(&help.stdout).contains("Examples:"));
}
