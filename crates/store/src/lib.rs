//! Part of dragonflyshed: store.
