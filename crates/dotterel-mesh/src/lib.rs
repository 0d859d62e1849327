//! Mutually authenticated QUIC links between entry nodes.
