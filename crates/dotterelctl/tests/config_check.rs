//! Exit codes and output of `dotterelctl config check`, with the sample files.

use std::path::PathBuf;
use std::process::{Command, Output};

fn sample(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/samples")
        .join(name)
}

/// Runs the tool in the folder with the samples.
fn check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dotterelctl"))
        .args(["config", "check"])
        .args(args)
        .current_dir(sample(""))
        .output()
        .expect("the tool starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is text")
}

/// Guards against scripts that take a wrong configuration, or an unreadable one, for a sound one.
#[test]
fn exit_code_tells_sound_from_wrong_and_unreadable() {
    let not_an_object = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    for (args, code) in [
        (&["cell.json"][..], 0),
        (&["cell.json", "--strict", "--json"], 0),
        (&["cell-wrong.json"], 1),
        (&["cell-wrong.json", "--json"], 1),
        (&["cell-contradictory.json"], 1),
        (&["cell.json", "--against", "cell.json"], 1),
        (&["cell.json", "--min-cpu", "64001"], 1),
        (&["cell.json", "--min-mem-mb", "256001"], 1),
        (&[not_an_object], 1),
        (&["absent.json"], 2),
        (&["cell.json", "--against", "absent.json"], 2),
        (&["cell.json", "--against", not_an_object], 2),
        (&["cell.json", "--min-cpu", "x"], 2),
        (&[], 2),
    ] {
        let output = check(args);

        assert_eq!(output.status.code(), Some(code), "{args:?} {output:?}");
        assert_eq!(output.stdout.is_empty(), code == 2, "{args:?}");
        assert_eq!(output.stderr.is_empty(), code != 2, "{args:?}");
    }
}

/// Guards against warnings that fail a script, and against a `--strict` without effect.
#[test]
fn warnings_fail_only_with_strict() {
    let text = std::fs::read_to_string(sample("cell.json")).expect("the sample is readable");
    let text = text.replace("\"max_attempts\": 3", "\"max_attempts\": 0");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cell-warning.json");
    std::fs::write(&file, text).expect("the folder is writable");
    let file = file.to_str().expect("the path is text");

    let lenient = check(&[file]);
    let strict = check(&[file, "--strict"]);

    assert!(stdout(&lenient).contains("errors: 0, warnings: 1"));
    assert_eq!(
        (lenient.status.code(), strict.status.code()),
        (Some(0), Some(1))
    );
}

/// Guards against lines that an editor can't jump to.
#[test]
fn findings_are_printed_with_file_line_and_field() {
    let text = stdout(&check(&["cell-wrong.json"]));

    let first = text.lines().next().unwrap_or_default();
    assert_eq!(
        first,
        "cell-wrong.json:5:20: error: routes[0].timeout_ms: expected a number"
    );
    assert!(
        text.ends_with("cell-wrong.json: version 9, errors: 5, warnings: 2\n"),
        "{text}"
    );
}

#[test]
fn json_is_one_object_with_findings_and_differences() {
    let output = check(&[
        "cell-contradictory.json",
        "--against",
        "cell.json",
        "--json",
    ]);

    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one object");
    assert_eq!(report["errors"], 8);
    assert_eq!(report["against"], 8);
    assert_eq!(report["findings"][0]["field"], "version");
    assert_eq!(report["differences"][0]["change"], "removed");
    assert_eq!(report["differences"][0]["name"], "status");
    assert_eq!(report["differences"][0]["tenants"][0], "blue");
}

/// Guards against keys on the terminal or in a CI log.
#[test]
fn no_output_contains_a_key() {
    let names = ["cell.json", "cell-wrong.json", "cell-contradictory.json"];
    for new in names {
        for old in names {
            for format in [&["--strict"][..], &["--json"]] {
                let output = check(&[&[new, "--against", old], format].concat());

                let shown = format!("{output:?}");
                assert!(!shown.contains("sample-key"), "{shown}");
            }
        }
    }
}
