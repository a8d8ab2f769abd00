//! The steps that scenarios share: changes are written, the fleet settles, and what came of it is reported.

use super::churn::{self, ChangeDrawer, PlannedChange};
use super::clock::{self, MILLISECOND, SECOND};
use super::fleet::{Fleet, REPLICAS, WindowStart};
use super::holders::{HolderEvents, Replica};
use super::options::HollowOptions;
use super::report::{self, Outcome, seconds_or_never};
use anyhow::Result;
use bellsill_core::interface::Nanos;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::time::Duration;

/// Writers begin so long after they were asked to.
pub(super) const CHURN_LEAD: Nanos = 200 * MILLISECOND;
/// Changes that are not in force everywhere so long after the last write count as lost.
const LOST_AFTER: Duration = Duration::from_secs(30);
/// How long a fleet may take to be served and whole again.
pub(super) const SETTLED_WITHIN: Duration = Duration::from_secs(180);
/// A fleet in which no bucket is gained or lost for so long is quiet.
const QUIET_FOR: Duration = Duration::from_secs(10);
/// Statuses that are older than this since a fault do not count.
const STATUS_LAG: Nanos = 300 * MILLISECOND;
/// Moved replicas against the least possible.
const MOVED_BOUND: f64 = 1.1;
/// Changes that are written to see that writes are followed again.
const PROOF_CHANGES: usize = 20;

/// The fleet on which scenarios are played, and what is drawn for them.
pub struct Player {
    pub(super) fleet: Fleet,
    pub(super) drawer: ChangeDrawer,
    pub(super) random: Pcg64,
}

/// What was known before something was done to the fleet.
pub struct Before {
    pub(super) replicas: BTreeSet<Replica>,
    pub(super) bytes: u64,
    pub(super) connects: u64,
    pub(super) at: Nanos,
    pub(super) window: WindowStart,
}

impl Player {
    pub(super) fn start(options: HollowOptions) -> Result<Player> {
        let seed = options.seed;
        let fleet = Fleet::start(options)?;
        Ok(Player {
            fleet,
            drawer: ChangeDrawer::new(seed),
            random: Pcg64::seed_from_u64(seed),
        })
    }

    /// Writes changes, measures for the span at least, and tells what came of them.
    pub(super) fn churn(
        &mut self,
        outcome: &mut Outcome,
        changes: Vec<PlannedChange>,
        span: Duration,
    ) -> Result<()> {
        self.fleet.follow_changes()?;
        let window = self.fleet.begin_window()?;
        self.write(changes, span)?;
        let window = self.fleet.end_window(&window)?;
        report::tell_propagation(outcome, &self.fleet.propagation);
        report::tell_usage(outcome, &window);
        self.tell_state(outcome)
    }

    /// Writes changes and waits until all are in force, or count as lost.
    pub(super) fn write(&mut self, changes: Vec<PlannedChange>, span: Duration) -> Result<()> {
        let count = changes.len();
        let writer = self.fleet.controls[0].client();
        let threads = churn::write_all(&self.fleet.plan, changes, writer, self.fleet.sender());
        self.fleet.run_for(span)?;
        let all_written = |fleet: &Fleet| fleet.propagation.answered() == count;
        self.fleet.wait(LOST_AFTER, all_written)?;
        self.fleet
            .wait(LOST_AFTER, |fleet| fleet.propagation.pending() == 0)?;
        // A writer that panicked has left writes without an answer, which the wait above has seen.
        threads.into_iter().for_each(|thread| drop(thread.join()));
        Ok(())
    }

    /// Writes a few changes and checks that they come through.
    pub(super) fn prove_writes(&mut self, outcome: &mut Outcome) -> Result<()> {
        let changes = self
            .drawer
            .clump(&self.fleet.plan, clock::now() + CHURN_LEAD, PROOF_CHANGES);
        self.fleet.follow_changes()?;
        self.write(changes, Duration::from_secs(1))?;
        let propagation = &self.fleet.propagation;
        outcome.none(
            "writes refused afterwards",
            propagation.refused_writes.len() as u64,
        );
        outcome.none("changes lost afterwards", propagation.pending() as u64);
        self.tell_state(outcome)
    }

    /// Whether what is in force is what was written, and in order.
    pub(super) fn tell_state(&mut self, outcome: &mut Outcome) -> Result<()> {
        let wrong = self.fleet.wrong_buckets()?;
        outcome.none(
            "buckets in force at a dispatcher that are not as written",
            wrong.len() as u64,
        );
        if let Some(first) = wrong.first() {
            outcome.tell("the first of them", format!("{first:?}"));
        }
        let faults = self.fleet.fault_counts();
        outcome.none("changes applied out of order", faults.out_of_order);
        outcome.none("changes applied twice", faults.twice);
        outcome.none(
            "lines refused by dispatchers of the fleet",
            faults.refused_lines,
        );
        Ok(())
    }

    pub(super) fn before(&mut self) -> Result<Before> {
        self.fleet.holders.clear_events();
        Ok(Before {
            window: self.fleet.begin_window()?,
            replicas: self.fleet.holders.replicas(),
            bytes: self.fleet.bytes(),
            connects: self.fleet.connects(),
            at: clock::now(),
        })
    }

    /// Waits until all running dispatchers are served by one of the control processes named.
    pub(super) fn wait_until_served(
        &mut self,
        by: &[usize],
        since: Nanos,
    ) -> Result<Option<Duration>> {
        let served = |fleet: &Fleet| {
            fleet
                .served_by(by, since + STATUS_LAG)
                .is_some_and(|count| count == fleet.running().len())
        };
        let waited = self.fleet.wait(SETTLED_WITHIN, served)?;
        Ok(waited.map(|_| Duration::from_nanos(clock::now() - since)))
    }

    /// Tells what was said to the dispatchers since then, and what has moved.
    pub(super) fn tell_since(
        &mut self,
        outcome: &mut Outcome,
        before: &Before,
        label: &str,
    ) -> Result<()> {
        self.tell_told(outcome, before, label)?;
        self.tell_bare(outcome, label);
        Ok(())
    }

    pub(super) fn tell_told(
        &mut self,
        outcome: &mut Outcome,
        before: &Before,
        label: &str,
    ) -> Result<()> {
        let span = (clock::now() - before.at) as f64 / SECOND as f64;
        let bytes = self.fleet.bytes() - before.bytes;
        let each = bytes as f64 / self.fleet.running().len().max(1) as f64 / span / 1e3;
        outcome.tell(
            format!("{label}: bytes told, to a dispatcher a second"),
            format!(
                "{} in {span:.1} s, {each:.3} KB/s",
                report::megabytes(bytes)
            ),
        );
        let largest = self
            .fleet
            .end_window(&before.window)?
            .traffic
            .largest_three_seconds;
        outcome.tell(
            format!("{label}: largest 3 s of a dispatcher"),
            report::kilobytes(largest),
        );
        let spread = format!("{:?}", self.fleet.served_by_each());
        outcome.tell(
            format!("{label}: dispatchers at each control process"),
            spread,
        );
        outcome.tell(
            format!("{label}: connections opened"),
            self.fleet.connects() - before.connects,
        );
        let HolderEvents {
            gained, told_anew, ..
        } = self.fleet.holders.events();
        outcome.none(
            format!("{label}: buckets told anew that were held"),
            *told_anew,
        );
        outcome.tell(format!("{label}: buckets gained"), *gained);
        Ok(())
    }

    pub(super) fn tell_bare(&self, outcome: &mut Outcome, label: &str) {
        let bare_spans = &self.fleet.holders.events().bare_spans;
        let longest = bare_spans.iter().max().copied().unwrap_or(0);
        outcome.check(
            format!("{label}: buckets that had no live holder for a time, the longest"),
            format!(
                "{}, {:.0} ms",
                bare_spans.len(),
                longest as f64 / MILLISECOND as f64
            ),
            "0",
            bare_spans.is_empty(),
        );
        outcome.none(
            format!("{label}: buckets without a live holder now"),
            self.fleet.holders.bare() as u64,
        );
    }

    /// Control processes but these.
    pub(super) fn others(&self, numbers: &[usize]) -> Vec<usize> {
        (0..self.fleet.controls.len())
            .filter(|n| !numbers.contains(n))
            .collect()
    }

    pub(super) fn tell_served(&self, outcome: &mut Outcome, label: &str, served: Option<Duration>) {
        outcome.check(
            format!("{label}: all dispatchers served again after"),
            seconds_or_never(served),
            "all are",
            served.is_some(),
        );
    }

    /// Waits until every bucket has all its holders.
    pub(super) fn settle(&mut self, outcome: &mut Outcome, label: &str) -> Result<()> {
        let settled = self.fleet.wait(SETTLED_WITHIN, Fleet::settled)?;
        let full = self.fleet.holders.with_holders(REPLICAS);
        outcome.check(
            format!("{label}: every bucket has {REPLICAS} live holders after"),
            format!(
                "{} ({full} of {})",
                seconds_or_never(settled),
                self.fleet.plan.buckets()
            ),
            "all have",
            settled.is_some(),
        );
        Ok(())
    }

    /// Replicas that are live now and were not before; or what dispatchers were told they gain, where that is more: what
    /// moved twice counts twice.
    pub(super) fn moved_since(&self, before: &BTreeSet<Replica>) -> u64 {
        let moved = self.fleet.holders.replicas().difference(before).count() as u64;
        moved.max(self.fleet.holders.events().gained)
    }

    pub(super) fn tell_moved(&self, outcome: &mut Outcome, label: &str, moved: u64, least: u64) {
        let most = (least as f64 * MOVED_BOUND).floor() as u64;
        outcome.check(
            format!("{label}: buckets moved, least possible"),
            format!("{moved}, {least}"),
            format!("<= {MOVED_BOUND} of the least"),
            moved <= most,
        );
    }

    /// Waits until no bucket has been gained or lost for a while.
    pub(super) fn wait_until_quiet(&mut self) -> Result<()> {
        let mut before = BTreeSet::new();
        for _ in 0..SETTLED_WITHIN.as_secs() / QUIET_FOR.as_secs() {
            self.fleet.run_for(QUIET_FOR)?;
            let now = self.fleet.holders.replicas();
            if now == before {
                return Ok(());
            }
            before = now;
        }
        Ok(())
    }
}
