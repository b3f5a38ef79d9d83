//! Part of dragonflyshed.

fn main() {}
