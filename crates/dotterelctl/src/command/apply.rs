//! `apply`: puts a document in force.

use std::path::Path;

use bytes::Bytes;
use http::{Method, StatusCode};
use similar::TextDiff;

use crate::client::{Client, Reply};
use crate::command::get::split_revision;
use crate::command::{json_text, read_file, validate};
use crate::error::CommandError;

const DIFF_CONTEXT_LINES: usize = 2;

/// Applies the document in a file against the revision that the edit started from.
///
/// # Errors
///
/// Returns [`CommandError::Conflict`] with the difference when another operator was first.
pub async fn run(
    client: &Client,
    file: &Path,
    expect: Option<u64>,
    json: bool,
) -> Result<String, CommandError> {
    let text = read_file(file)?;
    let (marked, text) = split_revision(&text);
    let document = validate::parse(file, text)?;
    let path = format!("/v1/documents/{}", document.service);
    let condition = condition(expect.or(marked));
    let body = Bytes::from(text.to_owned());
    let reply = client.call(Method::PUT, &path, &[condition], body).await?;
    if reply.status == StatusCode::PRECONDITION_FAILED {
        return Err(raced(client, &path, text, &reply).await);
    }
    let reply = reply.error_for_status()?;
    let revision = reply
        .revision()
        .ok_or_else(|| CommandError::Unreachable("the answer carries no revision".to_owned()))?;
    if json {
        return json_text(&(document.service, revision));
    }
    Ok(format!(
        "{}: revision {revision} accepted\n",
        document.service
    ))
}

/// Returns the header that ties the call to a revision, or to there being none yet.
fn condition(expect: Option<u64>) -> (&'static str, String) {
    match expect {
        Some(revision) if revision > 0 => ("if-match", format!("\"{revision}\"")),
        _ => ("if-none-match", "*".to_owned()),
    }
}

async fn raced(client: &Client, path: &str, mine: &str, reply: &Reply) -> CommandError {
    let current = reply
        .error_body()
        .revision
        .map_or("unknown".to_owned(), |found| found.to_string());
    let head = format!("another operator was first; revision {current} is in force");
    match client.get(path).await {
        Ok(theirs) => {
            let theirs = String::from_utf8_lossy(&theirs.body).into_owned();
            CommandError::Conflict(format!("{head}\n{}", diff(&theirs, mine)))
        }
        Err(fault) => CommandError::Conflict(format!("{head}; it could not be read: {fault}")),
    }
}

fn diff(theirs: &str, mine: &str) -> String {
    TextDiff::from_lines(theirs, mine)
        .unified_diff()
        .context_radius(DIFF_CONTEXT_LINES)
        .header("in force", "yours")
        .to_string()
}
