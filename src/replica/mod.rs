//! One replica of one replicated log.
