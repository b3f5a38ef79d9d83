//! Part of dragonflyshed: standin.
