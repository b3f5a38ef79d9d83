//! The network link of an entry.

use std::collections::VecDeque;

/// Capacity of the link in either direction: 25 Mbit/s.
pub const BYTES_PER_MS: u64 = 3_125;
/// Bytes of one connection that may be on their way.
const WINDOW_BYTES: u64 = 64 << 10;
/// There and back within the region.
const ROUND_TRIP_MS: u64 = 3;

/// A message that waits to be sent on a connection.
pub struct Outgoing<T> {
    pub bytes_left: u64,
    pub message: T,
}

/// Connections that share the outgoing direction.
pub struct Link<T> {
    queues: Vec<VecDeque<Outgoing<T>>>,
}

impl<T> Link<T> {
    pub fn new(connections: usize) -> Self {
        Self {
            queues: (0..connections).map(|_| VecDeque::new()).collect(),
        }
    }

    pub fn send(&mut self, connection: usize, bytes: u64, message: T) {
        self.queues[connection].push_back(Outgoing {
            bytes_left: bytes,
            message,
        });
    }

    /// Sends for a millisecond, and returns the messages that have left with their connections.
    pub fn advance(&mut self) -> Vec<(usize, T)> {
        let mut sent = Vec::new();
        let busy = self.queues.iter().filter(|queue| !queue.is_empty());
        let share = BYTES_PER_MS / (busy.count() as u64).max(1);
        for (connection, queue) in self.queues.iter_mut().enumerate() {
            let mut budget = share;
            while let Some(first) = queue.front_mut() {
                let bytes = budget.min(first.bytes_left);
                first.bytes_left -= bytes;
                budget -= bytes;
                if first.bytes_left > 0 {
                    break;
                }
                sent.extend(queue.pop_front().map(|done| (connection, done.message)));
            }
        }
        sent
    }

    /// Time that a packet waits behind those of all connections.
    pub fn packet_wait_ms(&self) -> u64 {
        let waiting = |queue: &VecDeque<Outgoing<T>>| {
            let bytes: u64 = queue.iter().map(|outgoing| outgoing.bytes_left).sum();
            bytes.min(WINDOW_BYTES)
        };
        self.queues.iter().map(waiting).sum::<u64>() / BYTES_PER_MS
    }

    /// Time until a response has arrived whole; each window of it is acknowledged through the outgoing direction.
    pub fn response_ms(&self, bytes: u64) -> u64 {
        let round_trips = bytes.div_ceil(WINDOW_BYTES);
        round_trips * (self.packet_wait_ms() + ROUND_TRIP_MS) + bytes / BYTES_PER_MS
    }
}
