//! The entry daemon: callers' HTTP, worker ownership, claims, jobs, documents and the account.
