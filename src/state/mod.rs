//! Shell of the state role: drives the replicas and their state machines.
