//! Client of the state hosts: finds the leader of a group and resends idempotent commands.
