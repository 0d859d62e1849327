//! `config check`: checks the operator's configuration of a cell locally.

use std::fmt::Write as _;
use std::path::Path;

use dotterel_adapter::config::check::{Report, ReportedDifference, check};
use dotterel_kernel::Size;

use crate::args::ConfigCommand;
use crate::command::json_text;
use crate::error::CommandError;

/// Checks a configuration and returns the report.
///
/// # Errors
///
/// Returns [`CommandError::Unsound`] with the report if it has errors, or warnings with `--strict`, and
/// [`CommandError::Usage`] if a file can't be read or the version in force is no JSON object.
pub fn run(command: &ConfigCommand, json: bool) -> Result<String, CommandError> {
    let ConfigCommand::Check {
        file,
        against,
        min_cpu,
        min_mem_mb,
        strict,
    } = command;
    let smallest_task = Size {
        milli_cores: *min_cpu,
        memory_mb: *min_mem_mb,
        ..Size::ZERO
    };
    let text = read_bytes(file)?;
    let in_force = against.as_deref().map(read_bytes).transpose()?;
    let report = check(&text, in_force.as_deref(), smallest_task).map_err(|err| {
        let against = against.as_deref().unwrap_or(file);
        CommandError::Usage(format!("{}: {err}", against.display()))
    })?;
    let is_sound = report.errors == 0 && !(*strict && report.warnings > 0);
    let text = if json {
        json_text(&report)?
    } else {
        render(file, &report)
    };
    if is_sound {
        Ok(text)
    } else {
        Err(CommandError::Unsound(text))
    }
}

fn read_bytes(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|err| CommandError::Usage(format!("{}: {err}", path.display())))
}

/// Formats a report as text, one line for a finding.
#[must_use]
pub fn render(file: &Path, report: &Report) -> String {
    let file = file.display();
    let mut text = String::new();
    for finding in &report.findings {
        let field = match finding.field.as_str() {
            "" => String::new(),
            field => format!("{field}: "),
        };
        let _ = writeln!(
            text,
            "{file}:{}:{}: {}: {field}{}",
            finding.line, finding.column, finding.severity, finding.text
        );
    }
    for difference in report.differences.iter().flatten() {
        render_difference(&mut text, difference);
    }
    let version = |version: Option<u64>| match version {
        Some(version) => format!("version {version}"),
        None => "no version".to_owned(),
    };
    let _ = write!(
        text,
        "{file}: {}, errors: {}, warnings: {}",
        version(report.version),
        report.errors,
        report.warnings
    );
    if let Some(differences) = &report.differences {
        let against = version(report.against);
        let _ = write!(text, ", differences from {against}: {}", differences.len());
    }
    text.push('\n');
    text
}

fn render_difference(text: &mut String, difference: &ReportedDifference) {
    let ReportedDifference {
        change,
        entry,
        name,
        ..
    } = difference;
    let name = match name.as_str() {
        "" => String::new(),
        name => format!(" {name}"),
    };
    let _ = writeln!(text, "{change} {entry}{name}");
    for field in &difference.fields {
        let _ = writeln!(text, "  {}: {} -> {}", field.field, field.old, field.new);
    }
    for (kind, names) in [
        ("queues", &difference.queues),
        ("tenants", &difference.tenants),
    ] {
        if !names.is_empty() {
            let _ = writeln!(text, "  affects {kind}: {}", names.join(", "));
        }
    }
}
