//! Shell of the agent role: the only way to the endpoints of its host.
