//! QUIC connections between processes, with mutual TLS, heartbeats and reconnection.
//!
//! A [`Dialer`] keeps one connection to one peer and opens streams on it. A [`Listener`] accepts
//! connections as [`Peer`]s, named by their certificates. Frames are values encoded with postcard,
//! each preceded by its length as a big-endian `u32`, at most [`crate::wire::MAX_FRAME`] bytes.

mod dialer;
mod listener;
mod stream;

pub use dialer::Dialer;
pub use listener::Incoming;
pub use listener::Listener;
pub use listener::Peer;
pub use stream::Receiver;
pub use stream::Sender;
pub use stream::Stream;

use crate::errors;
use std::sync::Arc;
use std::time::Duration;

/// QUIC error code of a stream that its sender or receiver cancelled.
const STREAM_CANCELLED: u32 = 1;
/// QUIC error code of a stream that was refused before it reached the application.
const STREAM_REFUSED: u32 = 2;
/// QUIC error code of a connection that was closed on purpose.
const CONNECTION_CLOSED: u32 = 3;
/// QUIC error code of a connection whose heartbeats stopped or went unanswered.
const CONNECTION_SILENT: u32 = 4;

/// Timeouts and limits of links. The defaults suit hosts about 1 ms apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval between the heartbeats that the dialer sends.
    pub heartbeat_interval: Duration,
    /// Time without heartbeats or their answers after which a connection is closed.
    pub heartbeat_timeout: Duration,
    /// Timeout of the handshake, including the confirmation by the listener.
    pub dial_timeout: Duration,
    /// Longest wait of [`Dialer::open`] while the peer's limit of streams is reached.
    pub open_timeout: Duration,
    /// Delay after the first failed dial. Doubles with each further failure.
    pub initial_backoff: Duration,
    /// Upper bound of the delay after a failed dial.
    pub max_backoff: Duration,
    /// Most bidirectional streams that one peer may have open at once.
    pub streams: u32,
    /// Most unidirectional streams that one peer may have open at once.
    pub uni_streams: u32,
    /// Most bytes that one stream buffers before the application reads them.
    pub window: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_interval: Duration::from_millis(500),
            heartbeat_timeout: Duration::from_millis(1500),
            dial_timeout: Duration::from_secs(1),
            open_timeout: Duration::from_secs(1),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            streams: 1024,
            uni_streams: 64,
            window: 256 << 10,
        }
    }
}

impl Settings {
    fn transport(&self) -> quinn::TransportConfig {
        let mut config = quinn::TransportConfig::default();
        // Both ends detect a silent connection by missing heartbeats and send a close frame.
        // quinn's idle timeout sends none, so it only covers a stalled heartbeat task. Only
        // values far above any sensible setting do not fit the QUIC encoding; they disable it.
        let idle =
            quinn::IdleTimeout::try_from(self.heartbeat_timeout + self.heartbeat_interval).ok();
        config
            .max_idle_timeout(idle)
            .max_concurrent_bidi_streams(self.streams.into())
            .max_concurrent_uni_streams(self.uni_streams.into())
            .stream_receive_window(self.window.into())
            // With quinn's default of 333 ms, one lost handshake packet uses up the whole dial
            // timeout.
            .initial_rtt(Duration::from_millis(50))
            // Datagrams carry heartbeats of one byte only.
            .datagram_receive_buffer_size(Some(HEARTBEAT_BUFFER));
        config
    }
}

/// Size in bytes of the buffer for unread datagrams. quinn drops the oldest when it is full.
const HEARTBEAT_BUFFER: usize = 64;

/// Transport error codes that carry a TLS alert, for example a rejected certificate (RFC 9001,
/// section 4.8).
const TLS_ALERT_CODES: std::ops::Range<u64> = 0x100..0x200;

/// Converts a connection error into an error of `step` that names `peer`.
fn connection_error(
    step: &'static str,
    peer: &Arc<str>,
    error: &quinn::ConnectionError,
) -> errors::Error {
    let cause = match error {
        quinn::ConnectionError::ApplicationClosed(close)
            if close.error_code == CONNECTION_CLOSED.into()
                || close.error_code == STREAM_REFUSED.into() =>
        {
            errors::Cause::Refused("the peer is closing".into())
        }
        quinn::ConnectionError::ConnectionClosed(close)
            if close.error_code == quinn::TransportErrorCode::CONNECTION_REFUSED =>
        {
            errors::Cause::Refused("the peer accepts no connections".into())
        }
        quinn::ConnectionError::ConnectionClosed(close)
            if TLS_ALERT_CODES.contains(&u64::from(close.error_code)) =>
        {
            errors::Cause::Refused(close.to_string().into())
        }
        quinn::ConnectionError::TransportError(e) => errors::Cause::Refused(e.to_string().into()),
        quinn::ConnectionError::LocallyClosed => {
            errors::Cause::Lost("the connection was silent or reset".into())
        }
        other => errors::Cause::Lost(other.to_string().into()),
    };
    errors::Error::new(step, peer.clone(), cause)
}
