//! The lease that all runs on a target share.

use dfs_ids::Millis;
use dfs_ids::Moment;

use super::Runs;
use super::RunsOptions;
use super::TargetTime;

/// Largest drift between the clocks of two instances, as a fraction of the elapsed time.
const MAX_CLOCK_DRIFT: (u64, u64) = (2, 100);
impl Runs {
    /// End of a lease that begins now, by the target's clock; `None` until the target has sent its time, and while
    /// a run must end that a longer lease would keep going.
    pub(super) fn next_lease_end(&self, now: Moment) -> Option<TargetTime> {
        let (clock, received_at) = self.target_clock?;
        let lease_ms = self.lease_ms(now);
        let elapsed_ms = now.since(received_at) + lease_ms;
        let end = clock.0.saturating_add(elapsed_ms.get());
        (lease_ms > Millis::default()).then_some(TargetTime(end))
    }

    /// Extends the latest possible lease end for a request that is about to be sent.
    pub(super) fn extend_lease_bound(&mut self, now: Moment) {
        let longest_ms = self.lease_ms(now) + self.clock_error_ms(now);
        let until = now + with_clock_drift(longest_ms) + self.options.stop_ms;
        self.lease_expires_at = self.lease_expires_at.max(until);
    }

    /// Duration of a lease that begins now. All runs share it, so the one that must end first limits it. This ends
    /// the run even if each request to stop it is lost, or this process stands still.
    fn lease_ms(&self, now: Moment) -> Millis {
        let Some(until) = self.leases_end_by() else {
            return self.options.run_lease_ms;
        };
        let left_ms = until.since(now).saturating_sub(self.options.stop_ms);
        without_clock_drift(left_ms)
            .saturating_sub(self.clock_error_ms(now))
            .min(self.options.run_lease_ms)
    }

    /// Time by which the target's clock may be behind what is expected of it since it was last read. A lease lasts
    /// longer by it.
    fn clock_error_ms(&self, now: Moment) -> Millis {
        let (numerator, denominator) = MAX_CLOCK_DRIFT;
        let read_at = self
            .target_clock
            .map_or(now, |(_, received_at)| received_at);
        Millis::new((now.since(read_at).get() * numerator).div_ceil(denominator))
    }

    /// Time by which a run must have ended that is to stop, or whose entry is no longer heard of.
    fn leases_end_by(&self) -> Option<Moment> {
        let heard_at = self.entries_heard_at.zip(self.options.resubmit_ms);
        let entries_gone_at = heard_at.map(|(heard_at, resubmit_ms)| heard_at + resubmit_ms);
        let tracked = self.tracked.values();
        let stops = tracked.filter_map(|tracked| tracked.pending_stop.as_ref());
        let first_stop = stops
            .chain(self.orphans.values())
            .map(|stop| stop.requested_at)
            .min();
        // The lease that a run has when its stop is requested is not extended.
        let stopped_at = first_stop.map(|requested_at| {
            requested_at + with_clock_drift(self.options.run_lease_ms) + self.options.stop_ms
        });
        entries_gone_at.into_iter().chain(stopped_at).min()
    }
}

/// Latest time, by this process's clock, until which a run continues whose lease begins now.
pub(super) fn longest_lease_end(options: &RunsOptions, now: Moment) -> Moment {
    now + with_clock_drift(options.max_lease_ms) + options.stop_ms
}

/// Longest time, by this process's clock, that a lease can last on another instance.
pub(super) fn with_clock_drift(lease_ms: Millis) -> Millis {
    let (numerator, denominator) = MAX_CLOCK_DRIFT;
    lease_ms + Millis::new(lease_ms.get() * numerator / denominator + 1)
}

/// Lease that has ended on any other instance once `elapsed_ms` have passed by this process's clock.
const fn without_clock_drift(elapsed_ms: Millis) -> Millis {
    let (numerator, denominator) = MAX_CLOCK_DRIFT;
    let lease_ms = elapsed_ms
        .get()
        .saturating_sub(1)
        .saturating_mul(denominator);
    Millis::new(lease_ms / (denominator + numerator))
}
