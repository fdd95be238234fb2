//! State machine of group 0: configuration, history, agents and orders.
