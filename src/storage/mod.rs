//! Data folder of one replica group.
