//! 2xx: sessions between entries and agents.

use std::net::SocketAddr;

use dfs_ids::AgentId;
use dfs_ids::Incarnation;
use dfs_ids::Millis;

use super::ErrorText;
use super::ProcessName;
use super::catalogue::events;

events! {
    /// Sessions between entries and agents.
    SessionEvent {
        /// An agent that the entry did not know, or a new incarnation of it, has attached.
        201 Info "session_attached" Attached {
            /// The agent.
            agent: AgentId,
            /// Its incarnation.
            incarnation: Incarnation,
        }
        /// A session was opened and carries work.
        202 Info "session_opened" Opened {
            /// The process at the other end.
            peer: ProcessName,
        }
        /// The connection of a session broke.
        204 Warn "session_lost" Lost {
            /// The process at the other end.
            peer: ProcessName,
        }
        /// The other end was silent past its lease or has a new incarnation; its tasks are settled.
        205 Warn "session_lapsed" Lapsed {
            /// The process at the other end.
            peer: ProcessName,
            /// Tasks settled as unknown by an entry, or dropped unstarted by an agent.
            settled_tasks: u64,
        }
        /// An attach or a dial was rejected because the secrets differ.
        206 Error "bad_secret" BadSecret {
            /// Name under which the agent attaches.
            agent: AgentId,
        }
        /// A session was closed because its buffer was full.
        207 Warn "session_lagging" Lagging {
            /// The agent.
            agent: AgentId,
            /// Messages that the buffer holds.
            buffer_messages: u32,
        }
        /// An agent could not connect to an entry.
        209 Info "dial_failed" DialFailed {
            /// Address that was dialled.
            address: SocketAddr,
            /// Wait before the next try.
            redial_ms: Millis,
            /// Why.
            error: ErrorText,
        }
    }
}
