//! `get`: prints the document in force.

use crate::client::Client;
use crate::error::CommandError;

/// Starts the first line of a printed document; the revision follows.
pub const REVISION_MARK: &str = "# revision ";

/// Prints the document, headed by the revision that `apply` goes by.
///
/// # Errors
///
/// Returns why the node gave no document.
pub async fn run(client: &Client, service: &str) -> Result<String, CommandError> {
    let reply = client.get(&format!("/v1/documents/{service}")).await?;
    let revision = reply
        .revision()
        .ok_or_else(|| CommandError::Unreachable("the answer carries no revision".to_owned()))?;
    let text = String::from_utf8_lossy(&reply.body);
    Ok(format!("{REVISION_MARK}{revision}\n{}\n", text.trim_end()))
}

/// Splits a printed document into the revision, if any, and the document itself.
#[must_use]
pub fn split_revision(text: &str) -> (Option<u64>, &str) {
    let parsed = text.strip_prefix(REVISION_MARK).and_then(|rest| {
        let (number, document) = rest.split_once('\n')?;
        Some((number.trim().parse().ok()?, document))
    });
    match parsed {
        Some((revision, document)) => (Some(revision), document),
        None => (None, text),
    }
}
