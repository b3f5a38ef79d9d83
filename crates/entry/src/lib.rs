//! Part of dragonflyshed: entry.
