//! 2xx: sessions between entries and agents.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::Incarnation;
use dfs_ids::Millis;

use super::ErrorText;
use super::ProcessName;
use super::catalogue::events;

events! {
    /// Events of sessions between entries and agents.
    SessionEvent {
        /// An agent that is new to the entry, or a new incarnation of an agent, has attached.
        201 Info "session_attached" Attached {
            /// Agent that attached.
            agent: AgentId,
            /// Incarnation of the agent.
            incarnation: Incarnation,
        }
        /// A session is open and can carry tasks.
        202 Info "session_opened" Opened {
            /// Process at the other end of the session.
            peer: ProcessName,
        }
        /// The connection of a session was lost.
        204 Warn "session_lost" Lost {
            /// Process at the other end of the session.
            peer: ProcessName,
        }
        /// The lease of the peer has expired, or the peer was restarted; its tasks are settled.
        205 Warn "session_lapsed" Lapsed {
            /// Process at the other end of the session.
            peer: ProcessName,
            /// Tasks that an entry settled with an unknown outcome, or that an agent dropped before
            /// they started.
            settled_tasks: u64,
        }
        /// An agent's attach was refused because its session secret differs.
        206 Error "bad_secret" BadSecret {
            /// Identifier in the attach request, not authenticated.
            agent: AgentId,
        }
        /// A session was closed because its buffer of outgoing messages was full.
        207 Warn "session_lagging" Lagging {
            /// Agent that read too slowly.
            agent: AgentId,
            /// Capacity of the buffer in messages.
            buffer_messages: u32,
        }
        /// An agent could not connect to an entry.
        209 Info "dial_failed" DialFailed {
            /// Address of the entry.
            address: SocketAddr,
            /// Delay before the next attempt.
            redial_ms: Millis,
            /// Error of the attempt.
            error: ErrorText,
        }
        /// A message or report of the peer can't be decoded. The agent opens a new session.
        210 Warn "message_unreadable" MessageUnreadable {
            /// Decoding error.
            error: ErrorText,
        }
    }
}
