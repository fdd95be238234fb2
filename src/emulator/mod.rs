//! Model engine emulator: continuous batching, prefix cache, resumption and cancellation.
