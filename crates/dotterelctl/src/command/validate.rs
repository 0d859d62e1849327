//! `validate`: checks a document locally.

use std::path::Path;

use dotterel_kernel::Document;

use crate::command::{json_text, read_file};
use crate::error::CommandError;

/// Checks the document in a file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] with the invalid field, its value and the allowed values.
pub fn run(file: &Path, json: bool) -> Result<String, CommandError> {
    let document = parse(file, &read_file(file)?)?;
    if json {
        return json_text(&document);
    }
    Ok(format!(
        "{}: service {}, team {}, {} classes: valid\n",
        file.display(),
        document.service,
        document.team,
        document.classes.len()
    ))
}

/// Parses a document. Errors include the path of the file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] with the invalid field, its value and the allowed values.
pub fn parse(file: &Path, text: &str) -> Result<Document, CommandError> {
    Document::parse(text).map_err(|err| CommandError::Usage(format!("{}: {err}", file.display())))
}
