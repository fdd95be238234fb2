//! Shell of the entry role: HTTP for callers and operators.
