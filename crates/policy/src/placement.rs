//! Selection of the target that runs a task.

use dfs_conf::PlacementPolicy;
use rand::Rng;

/// What is known of an eligible target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<T> {
    /// The target, as the caller names it.
    pub id: T,
    /// Known open tasks for each slot.
    pub load: f64,
}

/// Picks one of the eligible targets.
pub fn pick<T: Clone>(
    policy: PlacementPolicy,
    eligible: &[Candidate<T>],
    random: &mut impl Rng,
) -> Option<T> {
    if eligible.is_empty() {
        return None;
    }
    let any = |random: &mut _| &eligible[Rng::random_range(random, 0..eligible.len())];
    let choice = match policy {
        PlacementPolicy::Random => any(random),
        PlacementPolicy::TwoChoices => {
            let (one, other) = (any(random), any(random));
            if other.load < one.load { other } else { one }
        }
        PlacementPolicy::LeastWork => least(eligible, random),
    };
    Some(choice.id.clone())
}

/// A load in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number; a larger one saturates"
)]
pub(crate) fn to_permille(load: f64) -> u32 {
    (load * 1_000.0) as u32
}

/// The least loaded target; equal ones are picked at random so that entries do not agree on one.
fn least<'a, T>(eligible: &'a [Candidate<T>], random: &mut impl Rng) -> &'a Candidate<T> {
    let lowest = eligible
        .iter()
        .map(|c| c.load)
        .fold(f64::INFINITY, f64::min);
    let ties = || eligible.iter().filter(|c| c.load <= lowest);
    let nth = random.random_range(0..ties().count().max(1));
    ties().nth(nth).unwrap_or(&eligible[0])
}
