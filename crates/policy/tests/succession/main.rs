//! Versions of the configuration in quick succession, at an entry that passes them on over a narrow link.

mod link;
mod world;

use dfs_ids::Millis;
use googletest::prelude::*;

use crate::world::World;

/// Time within which the users require a change to be active on deployments of this size.
const BOUND_MS: Millis = Millis::new(3_000);

#[googletest::test]
fn versions_in_quick_succession_are_active_in_time_at_an_entry_with_a_narrow_link() {
    let mut world = World::new(BOUND_MS);
    world.play_succession();
    expect_that!(world.longest_delay_ms, lt(BOUND_MS));
}
