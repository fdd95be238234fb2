//! Lifecycles of agents and entries as typestates.
//!
//! A node is joining, then serving, then draining, then left. Each transition consumes the node,
//! and only valid transitions exist. Requests are counted, so that a node leaves only after its
//! last request has ended. An operator's drain of a single endpoint is not covered here: the
//! catalog records it and the endpoint's gate carries it out.

use derive_more::Display;
use derive_more::From;
use std::marker::PhantomData;
use std::sync::Arc;

/// Role of a node that is an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Agent;

/// Role of a node that is an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry;

/// The node is not ready for requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Joining;

/// The node admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving {
    revision: u64,
}

/// The node finishes its requests and admits no new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining;

/// The node has no request and admits none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left;

/// Phase of a node, for status reports.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not ready for requests.
    #[display("joining")]
    Joining,
    /// Admits requests.
    #[display("serving")]
    Serving,
    /// Finishes its requests.
    #[display("draining")]
    Draining,
    /// Has ended.
    #[display("left")]
    Left,
}

/// Agent or entry (role `R`) in state `S`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node<R, S> {
    name: Arc<str>,
    running: u64,
    state: S,
    role: PhantomData<R>,
}

impl<R, S> Node<R, S> {
    /// Name of the node.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Requests that were admitted and have not ended.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Records the end of a request.
    pub fn end_request(&mut self) {
        debug_assert!(self.running > 0, "a request ended but none is running");
        self.running = self.running.saturating_sub(1);
    }

    fn with_state<T>(self, state: T) -> Node<R, T> {
        Node { name: self.name, running: self.running, state, role: PhantomData }
    }
}

impl<R> Node<R, Joining> {
    /// Creates a node that has just started.
    pub fn new(name: Arc<str>) -> Self {
        Node { name, running: 0, state: Joining, role: PhantomData }
    }

    /// Stops a node that is not serving. Requests that were admitted before a rejoin finish first.
    pub fn stop(self) -> Node<R, Draining> {
        self.with_state(Draining)
    }
}

impl Node<Agent, Joining> {
    /// Starts serving after the join was committed at log index `joined`.
    pub fn registered(self, joined: u64) -> Node<Agent, Serving> {
        self.with_state(Serving { revision: joined })
    }
}

impl Node<Entry, Joining> {
    /// Starts serving after a confirmed read has shown that the configuration of `revision` is
    /// current.
    pub fn confirmed(self, revision: u64) -> Node<Entry, Serving> {
        self.with_state(Serving { revision })
    }
}

impl<R> Node<R, Serving> {
    /// Log index of an agent's join, or revision of an entry's confirmed configuration.
    pub fn revision(&self) -> u64 {
        self.state.revision
    }

    /// Records an admitted request.
    pub fn admit(&mut self) {
        self.running += 1;
    }

    /// Starts a graceful shutdown. A node that was told to stop does not serve again.
    pub fn stop(self) -> Node<R, Draining> {
        self.with_state(Draining)
    }
}

impl Node<Agent, Serving> {
    /// Joins again after the catalog removed the agent because its lease expired. Running requests
    /// continue.
    pub fn rejoin(self) -> Node<Agent, Joining> {
        self.with_state(Joining)
    }
}

impl<R> Node<R, Draining> {
    /// Leaves if no request is running; returns the node unchanged otherwise.
    pub fn leave(self) -> Result<Node<R, Left>, Node<R, Draining>> {
        if self.running > 0 { Err(self) } else { Ok(self.with_state(Left)) }
    }
}

/// Node in any state, for an owner that stores it across transitions.
#[derive(Clone, Debug, From, PartialEq, Eq)]
pub enum Lifecycle<R> {
    /// See [`Joining`].
    Joining(Node<R, Joining>),
    /// See [`Serving`].
    Serving(Node<R, Serving>),
    /// See [`Draining`].
    Draining(Node<R, Draining>),
    /// See [`Left`].
    Left(Node<R, Left>),
}

impl<R> Lifecycle<R> {
    /// Phase of the node.
    pub fn phase(&self) -> Phase {
        match self {
            Lifecycle::Joining(_) => Phase::Joining,
            Lifecycle::Serving(_) => Phase::Serving,
            Lifecycle::Draining(_) => Phase::Draining,
            Lifecycle::Left(_) => Phase::Left,
        }
    }

    /// Admits a request if the node is serving.
    pub fn admit(&mut self) -> Result<(), Phase> {
        match self {
            Lifecycle::Serving(node) => {
                node.admit();
                Ok(())
            }
            _ => Err(self.phase()),
        }
    }

    /// Records the end of a request. A draining node leaves when its last request ends.
    pub fn end_request(self) -> Lifecycle<R> {
        match self {
            Lifecycle::Joining(mut node) => {
                node.end_request();
                node.into()
            }
            Lifecycle::Serving(mut node) => {
                node.end_request();
                node.into()
            }
            Lifecycle::Draining(mut node) => {
                node.end_request();
                leave_if_idle(node)
            }
            Lifecycle::Left(node) => node.into(),
        }
    }

    /// Starts a graceful shutdown. A repeated stop changes nothing.
    pub fn stop(self) -> Lifecycle<R> {
        match self {
            Lifecycle::Joining(node) => leave_if_idle(node.stop()),
            Lifecycle::Serving(node) => leave_if_idle(node.stop()),
            other => other,
        }
    }
}

fn leave_if_idle<R>(node: Node<R, Draining>) -> Lifecycle<R> {
    match node.leave() {
        Ok(left) => left.into(),
        Err(node) => node.into(),
    }
}
