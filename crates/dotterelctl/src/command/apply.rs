//! `apply`: applies a document.

use std::path::Path;

use bytes::Bytes;
use http::{Method, StatusCode};
use similar::TextDiff;

use crate::client::{Client, Reply};
use crate::command::get::split_revision;
use crate::command::{json_text, read_file, validate};
use crate::error::CommandError;

const DIFF_CONTEXT_LINES: usize = 2;

/// Applies the document in a file if the revision that it is based on is still current.
///
/// # Errors
///
/// Returns [`CommandError::Conflict`] with a diff if another operator changed the document first.
pub async fn run(
    client: &Client,
    file: &Path,
    expect: Option<u64>,
    json: bool,
) -> Result<String, CommandError> {
    let text = read_file(file)?;
    let (base_revision, text) = split_revision(&text);
    let document = validate::parse(file, text)?;
    let path = format!("/v1/documents/{}", document.service);
    let precondition = precondition(expect.or(base_revision));
    let body = Bytes::from(text.to_owned());
    let reply = client
        .call(Method::PUT, &path, &[precondition], body)
        .await?;
    if reply.status == StatusCode::PRECONDITION_FAILED {
        return Err(conflict(client, &path, text, &reply).await);
    }
    let reply = reply.error_for_status()?;
    let revision = reply
        .revision()
        .ok_or_else(|| CommandError::Unreachable("the response has no revision".to_owned()))?;
    if json {
        return json_text(&(document.service, revision));
    }
    Ok(format!(
        "{}: revision {revision} accepted\n",
        document.service
    ))
}

/// Returns the header that makes the request conditional on the revision `expect`, or on the
/// absence of the document.
fn precondition(expect: Option<u64>) -> (&'static str, String) {
    match expect {
        Some(revision) if revision > 0 => ("if-match", format!("\"{revision}\"")),
        _ => ("if-none-match", "*".to_owned()),
    }
}

async fn conflict(client: &Client, path: &str, local: &str, reply: &Reply) -> CommandError {
    let current = reply
        .error_body()
        .revision
        .map_or("unknown".to_owned(), |revision| revision.to_string());
    let head =
        format!("another operator changed the document first; the current revision is {current}");
    match client.get(path).await {
        Ok(remote) => {
            let remote = String::from_utf8_lossy(&remote.body).into_owned();
            CommandError::Conflict(format!("{head}\n{}", diff(&remote, local)))
        }
        Err(err) => CommandError::Conflict(format!("{head}; failed to read it: {err}")),
    }
}

fn diff(remote: &str, local: &str) -> String {
    TextDiff::from_lines(remote, local)
        .unified_diff()
        .context_radius(DIFF_CONTEXT_LINES)
        .header("in force", "yours")
        .to_string()
}
