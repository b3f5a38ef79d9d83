//! Part of dragonflyshed: agent.
