//! Writes changes at a pace, in a thread of its own, one request a change.

use super::clock::{self, SECOND};
use super::control_process::ControlClient;
use super::events::Event;
use super::plan::{Plan, endpoint_name};
use super::propagation::Change;
use bellsill_core::interface::Nanos;
use bellsill_directory::line::EndpointEntry;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;

/// Writers at once, so that a clump is not limited by one write's time on its way.
const CLUMP_WRITERS: usize = 4;

/// A change that is to be written at a moment.
#[derive(Clone, Debug)]
pub struct PlannedChange {
    pub at: Nanos,
    pub entry: EndpointEntry,
}

/// Draws destinations, each at most once.
pub struct ChangeDrawer {
    random: Pcg64,
    drawn: BTreeSet<u64>,
}

impl ChangeDrawer {
    pub fn new(seed: u64) -> Self {
        ChangeDrawer {
            random: Pcg64::seed_from_u64(seed),
            drawn: BTreeSet::new(),
        }
    }

    /// The destination's endpoint moves to another port.
    fn draw(&mut self, plan: &Plan) -> EndpointEntry {
        loop {
            let destination = self.random.random_range(0..plan.options.destinations);
            if self.drawn.insert(destination) {
                return plan.replaced_entry(destination, 1);
            }
        }
    }

    /// Changes that come at random, at `rate` a second on average, for a time from `from` on.
    pub fn at_random(
        &mut self,
        plan: &Plan,
        from: Nanos,
        rate: f64,
        span: Nanos,
    ) -> Vec<PlannedChange> {
        let rests = Exp::new(rate).expect("the rate is positive");
        let mut at = from;
        let mut changes = vec![];
        loop {
            at += (rests.sample(&mut self.random as &mut dyn Rng) * SECOND as f64) as Nanos;
            if at >= from + span {
                return changes;
            }
            changes.push(PlannedChange {
                at,
                entry: self.draw(plan),
            });
        }
    }

    /// Changes that come evenly within one second.
    pub fn clump(&mut self, plan: &Plan, from: Nanos, count: usize) -> Vec<PlannedChange> {
        let at = |n: usize| from + SECOND * n as Nanos / count as Nanos;
        (0..count)
            .map(|n| PlannedChange {
                at: at(n),
                entry: self.draw(plan),
            })
            .collect()
    }
}

/// Writes the changes, each at its time or as soon as one of the writers is free.
pub fn write_all(
    plan: &Plan,
    changes: Vec<PlannedChange>,
    writer: ControlClient,
    events: Sender<Event>,
) -> Vec<JoinHandle<()>> {
    let mut shares: Vec<Vec<PlannedChange>> = vec![vec![]; CLUMP_WRITERS];
    for (n, change) in changes.into_iter().enumerate() {
        shares[n % CLUMP_WRITERS].push(change);
    }
    let start = |share: Vec<PlannedChange>| {
        let (plan, writer, events) = (plan.clone(), writer.clone(), events.clone());
        std::thread::spawn(move || {
            share
                .iter()
                .for_each(|change| write(&plan, change, &writer, &events))
        })
    };
    shares.into_iter().map(start).collect()
}

fn write(plan: &Plan, planned: &PlannedChange, writer: &ControlClient, events: &Sender<Event>) {
    let rest = planned.at.saturating_sub(clock::now());
    std::thread::sleep(Duration::from_nanos(rest));
    let endpoint = endpoint_name(planned.entry.destination);
    let bucket = plan.bucket_of(planned.entry.destination);
    let started = clock::now();
    let change = Change {
        endpoint: endpoint.clone(),
        bucket,
        started,
    };
    // The fleet ends before its events are all read when a scenario fails.
    let _ = events.send(Event::Writing {
        change,
        entry: planned.entry.clone(),
    });
    let event = match writer.write_entries(std::slice::from_ref(&planned.entry)) {
        Ok(version) => Event::Written {
            endpoint,
            version,
            started,
            answered: clock::now(),
        },
        Err(e) => Event::WriteRefused {
            endpoint,
            what: format!("{e:#}"),
        },
    };
    let _ = events.send(event);
}
