//! Part of dragonflyshed: log.
