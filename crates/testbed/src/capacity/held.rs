//! Messages held: their bytes in memory and in the journal, and a restart that takes them up again.

use super::bench::Bench;
use super::client::Client;
use super::fit::Point;
use super::listing::Destination;
use super::report::{Series, SeriesId};
use anyhow::Result;

/// What was seen of a process that held messages, and of the one after it.
struct Seen {
    held: u32,
    memory: f64,
    journal: f64,
    restart_us: f64,
    restart_bytes: f64,
}

/// Holds messages for one destination that is down, kills the process, and starts the next one in its folder.
fn see(bench: &Bench, held: u32) -> Result<Seen> {
    let listed = [Destination {
        number: 1,
        endpoint: bench.peers.down,
    }];
    let process = bench.place.start(bench.peers.platform, &listed)?;
    let mut client = Client::connect(process.listen)?;
    client.hand_in_all(&vec![1; held as usize], &bench.body())?;
    process.quiet()?;
    let (memory, journal) = (process.memory()?.now, process.journal_bytes()?);
    drop(process);
    let next = bench.place.start_again(bench.peers.platform, &listed)?;
    Ok(Seen {
        held,
        memory,
        journal,
        restart_us: next.start_us,
        restart_bytes: next.read_bytes()?,
    })
}

/// Measures at each size.
pub fn measure(bench: &Bench) -> Result<Vec<Series>> {
    let all: Vec<Seen> = bench
        .sizes
        .held
        .iter()
        .map(|held| see(bench, *held))
        .collect::<Result<_>>()?;
    let series = |id: SeriesId, value: fn(&Seen) -> f64| {
        let point = |seen: &Seen| Point {
            size: f64::from(seen.held),
            value: value(seen),
        };
        Series::fitted(id, all.iter().map(point).collect())
    };
    Ok(vec![
        series(SeriesId::MemoryByHeld, |seen| seen.memory)?,
        series(SeriesId::JournalByHeld, |seen| seen.journal)?,
        series(SeriesId::RestartTimeByHeld, |seen| seen.restart_us)?,
        series(SeriesId::RestartBytesByHeld, |seen| seen.restart_bytes)?,
    ])
}
