//! Part of dragonflyshed: policy.
