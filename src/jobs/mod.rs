//! State machine of the job groups: jobs, items, results and claims.
