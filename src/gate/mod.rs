//! Admission at one endpoint: online before batch.
