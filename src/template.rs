//! Templates that operators fill in, with parameter types and ranges.
