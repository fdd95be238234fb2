//! Settings files: parsing and validation.
