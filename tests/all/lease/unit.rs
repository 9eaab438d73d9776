//! Tests of single parts.
