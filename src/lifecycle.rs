//! Life cycles of agents and entries as typestates.
