//! The scenarios: what is done to the fleet, and what must hold.

use super::clock::{self, SECOND};
use super::corruption;
use super::fleet::{Fleet, REPLICAS, StartFigures};
use super::holders::Replica;
use super::messages::{FaultCounts, StartFrom};
use super::options::{HollowOptions, ScenarioName};
use super::plan::DispatcherIndex;
use super::player::{CHURN_LEAD, Player, SETTLED_WITHIN};
use super::report::{self, Outcome, seconds, seconds_or_never};
use anyhow::{Context, Result};
use procfs::{Current, LoadAverage};
use rand::RngExt;
use rand::seq::SliceRandom;
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::time::Duration;

const SECONDS_A_DAY: f64 = 86_400.0;

/// Starts a fleet, plays what is asked for, and prints what came of it; whether all bounds were held.
pub fn play(options: HollowOptions) -> Result<bool> {
    let names = named(&options.scenario);
    let output = options.output.clone();
    let mut player = Player::start(options)?;
    let mut outcomes = vec![player.start_outcome()];
    print!("{}", outcomes[0].markdown());
    for name in names {
        let mut outcome = player
            .play(name)
            .with_context(|| format!("the scenario {name:?}"))?;
        outcome.tell("the machine's load in the last minute", load_of_machine());
        println!("\n{}", outcome.markdown());
        outcomes.push(outcome);
    }
    let total = player.total_outcome();
    println!("\n{}", total.markdown());
    outcomes.push(total);
    if let Some(output) = output {
        let text: Vec<String> = outcomes.iter().map(Outcome::markdown).collect();
        std::fs::write(&output, text.join("\n")).with_context(|| output.display().to_string())?;
    }
    Ok(outcomes.iter().all(Outcome::held))
}

/// Processes of the whole machine that ran or waited to.
fn load_of_machine() -> String {
    LoadAverage::current().map_or("unknown".to_string(), |load| format!("{:.1}", load.one))
}

fn named(scenarios: &[ScenarioName]) -> Vec<ScenarioName> {
    use ScenarioName::*;
    match scenarios.contains(&All) {
        true => vec![
            Steady,
            Clump,
            KillControl,
            StopControl,
            ZoneLost,
            RestartMany,
            AllControlDead,
            Corrupt,
        ],
        false => scenarios.to_vec(),
    }
}

impl Player {
    fn play(&mut self, name: ScenarioName) -> Result<Outcome> {
        tracing::info!("scenario {name:?}");
        match name {
            ScenarioName::Steady => self.steady(),
            ScenarioName::Clump => self.clump(),
            ScenarioName::KillControl => self.kill_control(),
            ScenarioName::StopControl => self.stop_control(),
            ScenarioName::ZoneLost => self.zone_lost(),
            ScenarioName::RestartMany => self.restart_many(),
            ScenarioName::AllControlDead => self.all_control_dead(),
            ScenarioName::Corrupt => corruption::play(self),
            ScenarioName::All => Ok(Outcome::new("all")),
        }
    }

    fn start_outcome(&self) -> Outcome {
        let options = &self.fleet.options;
        let StartFigures {
            seeded,
            filled,
            filled_bytes,
            largest_three_seconds,
        } = self.fleet.start_figures;
        let mut outcome = Outcome::new("start");
        outcome.tell("dispatchers, destinations, control", {
            format!(
                "{}, {}, {}",
                options.dispatchers, options.destinations, options.control
            )
        });
        outcome.tell("processes", self.fleet.process_count());
        outcome.tell("buckets of all regions", self.fleet.plan.buckets());
        outcome.tell("configuration written, followers up", seconds(seeded));
        outcome.tell("all dispatchers filled, from nothing", seconds(filled));
        outcome.tell("bytes of that", report::megabytes(filled_bytes));
        outcome.tell(
            "largest 3 s of a dispatcher meanwhile",
            report::kilobytes(largest_three_seconds),
        );
        outcome.tell(
            "dispatchers at each control process",
            format!("{:?}", self.fleet.served_by_each()),
        );
        outcome.tell("the machine's load in the last minute", load_of_machine());
        outcome
    }

    fn total_outcome(&self) -> Outcome {
        let mut outcome = Outcome::new("the whole run");
        let largest = self.fleet.sampler.largest_total_bytes();
        let bound = 12e9;
        outcome.check(
            "memory of all processes but the parent, largest sample",
            report::megabytes(largest),
            "<= 12000 MB",
            largest as f64 <= bound,
        );
        let FaultCounts {
            out_of_order,
            twice,
            ..
        } = self.fleet.fault_counts();
        outcome.none("changes applied out of order", out_of_order);
        outcome.none("changes applied twice", twice);
        outcome.tell(
            "entries that lists had already",
            self.fleet.fault_counts().entries_not_taken,
        );
        outcome
    }

    fn steady(&mut self) -> Result<Outcome> {
        let options = &self.fleet.options;
        let rate = options.changes_a_day * options.speed_up / SECONDS_A_DAY;
        let span = options.steady_seconds * SECOND;
        let mut outcome = Outcome::new(&format!(
            "steady: {rate:.3} changes a second for {} s",
            options.steady_seconds
        ));
        let changes =
            self.drawer
                .at_random(&self.fleet.plan, clock::now() + CHURN_LEAD, rate, span);
        self.churn(&mut outcome, changes, Duration::from_nanos(span))?;
        Ok(outcome)
    }

    fn clump(&mut self) -> Result<Outcome> {
        let count = self.fleet.options.clump;
        let mut outcome = Outcome::new(&format!("clump: {count} changes within one second"));
        let changes = self
            .drawer
            .clump(&self.fleet.plan, clock::now() + CHURN_LEAD, count);
        self.churn(&mut outcome, changes, self.fleet.options.watched_after())?;
        Ok(outcome)
    }

    fn kill_control(&mut self) -> Result<Outcome> {
        let mut outcome = Outcome::new("control processes killed");
        let last = self.fleet.controls.len() - 1;
        self.kill_and_restart(&mut outcome, "one follower", &[last])?;
        if last > 3 {
            self.kill_and_restart(&mut outcome, "three followers", &[1, 2, 3])?;
        }
        self.kill_and_restart(&mut outcome, "the writer", &[0])?;
        self.prove_writes(&mut outcome)?;
        Ok(outcome)
    }

    fn kill_and_restart(
        &mut self,
        outcome: &mut Outcome,
        label: &str,
        numbers: &[usize],
    ) -> Result<()> {
        let others = self.others(numbers);
        if others.is_empty() {
            return Ok(());
        }
        let before = self.before()?;
        numbers.iter().for_each(|&n| self.fleet.controls[n].kill());
        let served = self.wait_until_served(&others, before.at)?;
        self.fleet.run_for(self.fleet.options.watched_after())?;
        self.tell_served(outcome, label, served);
        self.tell_since(outcome, &before, label)?;
        let again = clock::now();
        self.fleet.start_control_processes(numbers)?;
        outcome.tell(
            format!("{label}: started again"),
            seconds(Duration::from_nanos(clock::now() - again)),
        );
        self.settle(outcome, label)
    }

    fn stop_control(&mut self) -> Result<Outcome> {
        let span = Duration::from_secs(self.fleet.options.stop_seconds);
        let mut outcome = Outcome::new(&format!(
            "a control process stopped for {} s",
            span.as_secs()
        ));
        let number = self.fleet.controls.len() - 1;
        let label = "a follower stopped";
        let others = self.others(&[number]);
        let before = self.before()?;
        self.fleet.controls[number].signal(Signal::STOP)?;
        let served = self.wait_until_served(&others, before.at);
        let rest = span.saturating_sub(Duration::from_nanos(clock::now() - before.at));
        self.fleet.run_for(rest)?;
        self.fleet.controls[number].signal(Signal::CONT)?;
        self.tell_served(&mut outcome, label, served?);
        self.fleet.run_for(self.fleet.options.watched_after())?;
        self.tell_since(&mut outcome, &before, label)?;
        self.settle(&mut outcome, "continued")?;
        self.prove_writes(&mut outcome)?;
        Ok(outcome)
    }

    fn zone_lost(&mut self) -> Result<Outcome> {
        let zone = self.fleet.plan.zones[0].name.clone();
        let lost = self.fleet.plan.dispatchers_in_zone(&zone);
        let mut outcome =
            Outcome::new(&format!("a zone's {} dispatchers gone at once", lost.len()));
        let before = self.before()?;
        let least = before
            .replicas
            .iter()
            .filter(|replica| lost.contains(&replica.dispatcher))
            .count() as u64;
        self.fleet.stop_dispatchers(&lost)?;
        // Within the grace nothing may move.
        let grace = Duration::from_secs(self.fleet.options.restart_grace);
        self.fleet.run_for(grace / 2)?;
        outcome.none(
            "gone: buckets moved within half of the grace",
            self.moved_since(&before.replicas),
        );
        let whole =
            |fleet: &Fleet| fleet.holders.with_holders(REPLICAS) == fleet.plan.buckets() as usize;
        let waited = self.fleet.wait(grace + SETTLED_WITHIN, whole)?;
        let after = waited.map(|_| Duration::from_nanos(clock::now() - before.at));
        self.fleet.run_for(self.fleet.options.watched_after())?;
        outcome.check(
            "gone: every bucket has two live holders after",
            seconds_or_never(after),
            "all have",
            after.is_some(),
        );
        self.tell_moved(
            &mut outcome,
            "gone",
            self.moved_since(&before.replicas),
            least,
        );
        self.tell_since(&mut outcome, &before, "gone")?;
        self.zone_back(&mut outcome, &lost)?;
        self.tell_state(&mut outcome)?;
        Ok(outcome)
    }

    fn zone_back(&mut self, outcome: &mut Outcome, lost: &[DispatcherIndex]) -> Result<()> {
        let before = self.before()?;
        self.fleet.start_dispatchers(lost, StartFrom::StateFile)?;
        self.wait_until_quiet()?;
        self.settle(outcome, "returned")?;
        // What the returned ones hold must have moved to them; more than that need not.
        let back: BTreeSet<Replica> = self.fleet.holders.replicas();
        let least = back
            .iter()
            .filter(|replica| lost.contains(&replica.dispatcher))
            .count() as u64;
        self.tell_moved(
            outcome,
            "returned",
            self.moved_since(&before.replicas),
            least,
        );
        self.tell_since(outcome, &before, "returned")?;
        Ok(())
    }

    fn restart_many(&mut self) -> Result<Outcome> {
        let count = self
            .fleet
            .options
            .restarts
            .min(self.fleet.options.dispatchers);
        let mut outcome = Outcome::new(&format!("{count} dispatchers restarted at once"));
        let mut all: Vec<DispatcherIndex> = self.fleet.plan.dispatchers().collect();
        all.shuffle(&mut self.random);
        let chosen = &all[..count];
        let before = self.before()?;
        let all_restarted = self.fleet.holders.held_by_these_alone(chosen);
        self.fleet.stop_dispatchers(chosen)?;
        self.fleet.start_dispatchers(chosen, StartFrom::StateFile)?;
        let everybody = self.others(&[]);
        let served = self.wait_until_served(&everybody, before.at)?;
        self.tell_served(&mut outcome, "restarted", served);
        self.fleet.run_for(self.fleet.options.watched_after())?;
        self.settle(&mut outcome, "restarted")?;
        self.tell_moved(
            &mut outcome,
            "restarted",
            self.moved_since(&before.replicas),
            0,
        );
        self.tell_told(&mut outcome, &before, "restarted")?;
        outcome.tell(
            "restarted: buckets of which all holders were restarted",
            all_restarted,
        );
        self.tell_bare(&mut outcome, "restarted");
        self.prove_writes(&mut outcome)?;
        Ok(outcome)
    }

    fn all_control_dead(&mut self) -> Result<Outcome> {
        let span = Duration::from_secs(self.fleet.options.dead_seconds);
        let mut outcome = Outcome::new(&format!(
            "all control processes dead for {} s",
            span.as_secs()
        ));
        let before = self.before()?;
        self.fleet
            .controls
            .iter_mut()
            .for_each(|control| control.kill());
        self.fleet.run_for(span / 2)?;
        let restarted =
            DispatcherIndex(self.random.random_range(0..self.fleet.options.dispatchers));
        self.restart_without_control(&mut outcome, restarted)?;
        self.fleet.run_for(span / 2)?;
        self.tell_state(&mut outcome)?;
        let back = clock::now();
        self.fleet.start_control_processes(&self.others(&[]))?;
        let everybody = self.others(&[]);
        let served = self.wait_until_served(&everybody, back)?;
        self.tell_served(&mut outcome, "control back", served);
        self.fleet.run_for(self.fleet.options.watched_after())?;
        self.settle(&mut outcome, "control back")?;
        self.tell_moved(
            &mut outcome,
            "control back",
            self.moved_since(&before.replicas),
            0,
        );
        self.tell_since(&mut outcome, &before, "control dead and back")?;
        self.prove_writes(&mut outcome)?;
        Ok(outcome)
    }

    /// A dispatcher that starts from its state file alone serves what it served.
    fn restart_without_control(
        &mut self,
        outcome: &mut Outcome,
        dispatcher: DispatcherIndex,
    ) -> Result<()> {
        let held = |fleet: &Fleet| {
            fleet
                .holders
                .replicas()
                .into_iter()
                .filter(|replica| replica.dispatcher == dispatcher)
                .count()
        };
        let before = held(&self.fleet);
        self.fleet.stop_dispatchers(&[dispatcher])?;
        self.fleet.wait(SETTLED_WITHIN, |fleet| held(fleet) == 0)?;
        self.fleet
            .start_dispatchers(&[dispatcher], StartFrom::StateFile)?;
        self.fleet
            .wait(SETTLED_WITHIN, |fleet| held(fleet) >= before)?;
        let after = held(&self.fleet);
        outcome.check(
            "restarted meanwhile: buckets served before, after",
            format!("{before}, {after}"),
            "the same, and not none",
            before == after && before > 0,
        );
        Ok(())
    }
}
