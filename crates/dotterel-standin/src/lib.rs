//! Stand-ins for the platform and its workers, with faults, for tests and trials.
