//! Random updates of the list, restarts, upgrades, outages of discovery and damage of the update log: each message goes to
//! an endpoint of its own destination, by what any process was told. Addresses change hands between destinations.
//! `BELLSILL_UPDATE_SEEDS=101-150` plays other seeds than those of CI.

use bellsill_test_support::client::{connect, new_id, put};
use bellsill_test_support::dispatcher_process::{DispatcherProcess, KillOnDrop};
use bellsill_test_support::endpoint::{Endpoint, OK, entry};
use bellsill_test_support::program;
use bellsill_test_support::soak::{run_in_parallel, seeds};
use bellsill_test_support::wait::wait_for;
use quickcheck::Gen;
use serde_json::{Value, json};
use std::io::Write;

const DESTINATIONS: [u64; 2] = [7, 8];
const ENDPOINTS: usize = 5;
const ROUNDS: usize = 20;
const MESSAGES: usize = 3;
const CI_SEEDS: (u64, u64) = (1, 4);
const PARALLEL_RUNS: usize = 4;
const GENERATOR_SIZE: usize = 100;

/// What happens after an update was recorded.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    Nothing,
    Kill,
    Upgrade,
    KillAndDamage,
    /// The watch is closed, and discovery accepts no other one for the time of a restart.
    KillDuringOutage,
}

const DISRUPTIONS: [Disruption; 5] = [
    Disruption::Nothing,
    Disruption::Kill,
    Disruption::Upgrade,
    Disruption::KillAndDamage,
    Disruption::KillDuringOutage,
];

struct Soak {
    process: DispatcherProcess,
    endpoints: Vec<Endpoint>,
    /// The id and the destination of the endpoint at each address.
    owners: Vec<(String, u64)>,
    version: u64,
    processes: u16,
    random: Gen,
}

impl Soak {
    fn new(seed: u64) -> Soak {
        let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|_| Endpoint::start(OK)).collect();
        let owners: Vec<(String, u64)> = (0..ENDPOINTS)
            .map(|n| (format!("e{n}"), DESTINATIONS[n % DESTINATIONS.len()]))
            .collect();
        let known: Vec<(&Endpoint, u64)> = endpoints
            .iter()
            .zip(&owners)
            .map(|(endpoint, owner)| (endpoint, owner.1))
            .collect();
        let mut process = DispatcherProcess::new(program!(), &known);
        process.config["mgmt"] = process.admin_addr(0).into();
        let version = process.config["known"]["version"].as_u64().unwrap();
        process.start();
        Soak {
            process,
            endpoints,
            owners,
            version,
            processes: 1,
            random: Gen::from_size_and_seed(GENERATOR_SIZE, seed),
        }
    }

    fn choose(&mut self, count: usize) -> usize {
        let choices: Vec<usize> = (0..count).collect();
        *self.random.choose(&choices).unwrap()
    }

    /// Gives an address to a new endpoint of the other destination, and publishes that as a change or as a whole list.
    fn publish_replacement(&mut self) {
        let position = self.choose(ENDPOINTS);
        let (old_id, old_destination) = self.owners[position].clone();
        let others = self
            .owners
            .iter()
            .filter(|owner| owner.1 == old_destination);
        if others.count() == 1 {
            return;
        }
        self.version += 1;
        let destination = DESTINATIONS
            .into_iter()
            .find(|d| *d != old_destination)
            .unwrap();
        let id = format!("n{}", self.version);
        self.owners[position] = (id.clone(), destination);
        let full = self.choose(3) == 0;
        let entries: Vec<Value> = if full {
            self.owners
                .iter()
                .zip(&self.endpoints)
                .map(|((id, destination), endpoint)| endpoint.entry(id, *destination, "up"))
                .collect()
        } else {
            let address = &self.endpoints[position].addr;
            vec![
                entry(&old_id, address, old_destination, "removed"),
                entry(&id, address, destination, "up"),
            ]
        };
        let list = json!({"version": self.version, "full": full, "servers": entries});
        let text = match self.choose(2) {
            0 => list.to_string(),
            _ => serde_json::to_string_pretty(&list).unwrap(),
        };
        self.process.platform.publish(&format!("{text}\n"));
        self.wait_until_recorded();
    }

    fn wait_until_recorded(&self) {
        let path = self.process.dir.join("state/endpoints");
        let version = format!("\"version\":{}", self.version);
        wait_for("the update in the log", || {
            std::fs::read_to_string(&path).is_ok_and(|log| log.contains(&version))
        });
    }

    fn disrupt(&mut self, disruption: Disruption) {
        match disruption {
            Disruption::Nothing => return,
            Disruption::Kill => self.process.kill(),
            Disruption::KillAndDamage => {
                self.process.kill();
                let path = self.process.dir.join("state/endpoints");
                let mut log = std::fs::OpenOptions::new().append(true).open(path).unwrap();
                log.write_all(b"00c0ffee {\"half\":").unwrap();
            }
            Disruption::KillDuringOutage => {
                self.process.kill();
                self.process.start();
                self.check_messages("during the outage");
                self.process.kill();
            }
            Disruption::Upgrade => return self.upgrade(),
        }
        self.process.platform.watches.lock().unwrap().clear();
        self.process.start();
        self.wait_for_watch();
    }

    fn upgrade(&mut self) {
        let old = KillOnDrop(self.process.child.take().unwrap());
        self.process.config["mgmt"] = self.process.admin_addr(self.processes % 50).into();
        self.processes += 1;
        self.process.start_second_process();
        wait_for("a second watch", || {
            self.process.platform.watches.lock().unwrap().len() > 1
        });
        // The watch of the old process is the first; only that one is told, or both are.
        if self.choose(2) == 0 {
            let silent = self.process.platform.watches.lock().unwrap().pop();
            self.publish_replacement();
            drop(old);
            self.process.platform.watches.lock().unwrap().clear();
            drop(silent);
            self.process.kill();
            self.process.start();
        } else {
            self.publish_replacement();
            drop(old);
            self.process.platform.watches.lock().unwrap().remove(0);
        }
        self.wait_for_watch();
    }

    fn wait_for_watch(&self) {
        wait_for("a watch", || {
            !self.process.platform.watches.lock().unwrap().is_empty()
        });
    }

    /// Sends messages for each destination. Each of them has to arrive at an endpoint of its own.
    fn check_messages(&self, when: &str) {
        for destination in DESTINATIONS {
            let mut client = connect(&self.process.listen).unwrap();
            for _ in 0..MESSAGES {
                let id = new_id();
                let fields = format!("c=notice,d=8000,k=k{id},dest={destination}");
                assert_eq!(client.send(&put(&id, &fields, "x")), "+OK");
                let receiver = || self.endpoints.iter().position(|e| e.received(&id) > 0);
                wait_for("the delivery", || receiver().is_some());
                let owner = &self.owners[receiver().unwrap()];
                assert_eq!(owner.1, destination, "{when}, version {}", self.version);
            }
        }
    }
}

/// Plays a seed; the first violation ends it with a panic.
fn run_seed(seed: u64) -> Vec<String> {
    let mut soak = Soak::new(seed);
    soak.wait_for_watch();
    for round in 0..ROUNDS {
        soak.publish_replacement();
        soak.check_messages(&format!("seed {seed}, round {round}, before"));
        let choice = soak.choose(DISRUPTIONS.len());
        soak.disrupt(DISRUPTIONS[choice]);
        let when = format!(
            "seed {seed}, round {round}, after {:?}",
            DISRUPTIONS[choice]
        );
        soak.check_messages(&when);
    }
    println!("seed {seed}: {ROUNDS} rounds, version {}", soak.version);
    Vec::new()
}

#[test]
fn each_message_goes_to_its_destination_over_random_updates_restarts_and_upgrades() {
    run_in_parallel(
        seeds("BELLSILL_UPDATE_SEEDS", CI_SEEDS),
        PARALLEL_RUNS,
        run_seed,
    );
}
