//! Choice of the endpoint for a request, and retries.
