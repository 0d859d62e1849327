//! `why`: shows the outcome of one request and the reason for it.

use dotterel_kernel::{Flag, Millis, Record, RequestId};

use crate::client::Client;
use crate::command::json_text;
use crate::error::CommandError;
use crate::table::Table;
use crate::time_format::{duration, time_of_day};

/// Reads the record of a request and formats it.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] for a malformed id, and another error if the node cannot be
/// reached or refuses the request.
pub async fn run(client: &Client, request: &str, json: bool) -> Result<String, CommandError> {
    let id: RequestId = request
        .parse()
        .map_err(|_| CommandError::Usage(format!("`{request}` is not a request id")))?;
    let record: Record = client.get_json(&format!("/v1/requests/{id}")).await?;
    if json {
        return json_text(&record);
    }
    Ok(format(&record))
}

/// Formats a record as text.
#[must_use]
pub fn format(record: &Record) -> String {
    let fate = record
        .fate
        .map_or("not settled yet".to_owned(), |fate| fate.to_string());
    let key = record
        .key
        .as_ref()
        .map_or("none".to_owned(), ToString::to_string);
    let mut text = format!(
        "request   {}\nservice   {}, class {}, key {key}\narrived   {} UTC at node {}\n\
         deadline  start within {}\nwaited    {}\nfate      {fate}\n",
        record.request,
        record.service,
        record.class,
        time_of_day(record.arrived),
        record.node,
        duration(record.deadline.since(record.arrived)),
        waited(record),
    );
    for flag in &record.flags {
        text.push_str(&format!("flag      {}\n", flag_text(flag)));
    }
    text.push_str(&attempts(record));
    text
}

fn waited(record: &Record) -> String {
    let until = record.started.or(record.ended);
    until.map_or("still waiting".to_owned(), |time| {
        duration(time.since(record.arrived))
    })
}

fn flag_text(flag: &Flag) -> String {
    match flag {
        Flag::Duplicate { of } => format!("duplicate of {of}"),
        Flag::Delayed { sign_off } => format!("delayed; {sign_off} signs off"),
    }
}

fn attempts(record: &Record) -> String {
    if record.attempts.is_empty() {
        return "attempts  none: nothing was sent to a VM\n".to_owned();
    }
    let mut table = Table::new(&["ATTEMPT", "VM", "OWNER", "SENT (UTC)", "TOOK", "OUTCOME"]);
    for (index, attempt) in record.attempts.iter().enumerate() {
        let took = |end: Millis| duration(end.since(attempt.sent));
        table.row(vec![
            (index + 1).to_string(),
            attempt.vm.to_string(),
            attempt.owner.to_string(),
            time_of_day(attempt.sent),
            attempt.ended.map_or("-".to_owned(), took),
            attempt.outcome.to_string(),
        ]);
    }
    format!("\n{table}")
}
