//! Selection of the target that runs a task.

use dfs_conf::PlacementPolicy;
use rand::Rng;

/// A target that can run the task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<T> {
    /// Identifies the target to the caller.
    pub id: T,
    /// Load as the caller measures it; only compared with that of the other candidates.
    pub load: f64,
}

/// Picks one of the candidates; `None` if there are none.
pub fn pick<T: Clone>(
    policy: PlacementPolicy,
    candidates: &[Candidate<T>],
    random: &mut impl Rng,
) -> Option<T> {
    if candidates.is_empty() {
        return None;
    }
    let uniform = |random: &mut _| &candidates[Rng::random_range(random, 0..candidates.len())];
    let picked = match policy {
        PlacementPolicy::Random => uniform(random),
        PlacementPolicy::TwoChoices => {
            let (first, second) = (uniform(random), uniform(random));
            if second.load < first.load {
                second
            } else {
                first
            }
        }
        PlacementPolicy::LeastWork => least_loaded(candidates, random),
    };
    Some(picked.id.clone())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are small and not negative; larger values saturate"
)]
pub(crate) fn to_permille(load: f64) -> u32 {
    (load * 1_000.0) as u32
}

/// The candidate with the lowest load. Ties are broken at random, so that entries with the same view of
/// the loads do not all pick the same target.
fn least_loaded<'a, T>(candidates: &'a [Candidate<T>], random: &mut impl Rng) -> &'a Candidate<T> {
    let lowest = candidates
        .iter()
        .map(|c| c.load)
        .fold(f64::INFINITY, f64::min);
    let tied = || candidates.iter().filter(|c| c.load <= lowest);
    let nth = random.random_range(0..tied().count().max(1));
    tied().nth(nth).unwrap_or(&candidates[0])
}
