//! `get`: prints the current document of a service.

use crate::client::Client;
use crate::error::CommandError;

/// The prefix of the first line of a printed document. The revision follows it.
pub const REVISION_MARK: &str = "# revision ";

/// Reads the document and prepends a line with its revision, which `apply` uses as a precondition.
///
/// # Errors
///
/// Returns an error if the node cannot be reached or refuses the request.
pub async fn run(client: &Client, service: &str) -> Result<String, CommandError> {
    let reply = client.get(&format!("/v1/documents/{service}")).await?;
    let revision = reply
        .revision()
        .ok_or_else(|| CommandError::Unreachable("the response has no revision".to_owned()))?;
    let text = String::from_utf8_lossy(&reply.body);
    Ok(format!("{REVISION_MARK}{revision}\n{}\n", text.trim_end()))
}

/// Splits a printed document into its revision, if it has one, and the document itself.
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
