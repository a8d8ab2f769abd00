//! Processor time of a message in a real process: by destinations known, by messages held, by destinations down.

use super::bench::Bench;
use super::client::Client;
use super::fit::Point;
use super::listing::{Destination, destinations};
use super::report::{Series, SeriesId};
use anyhow::{Context, Result};
use statrs::statistics::{Data, OrderStatistics};
use std::time::Duration;

/// Messages that are held are numbered from here, apart from those of the load.
const HELD_FROM: u64 = 1 << 40;
/// Messages that open the connections and fill the caches before anything counts.
const WARM_UP: usize = 100;
/// A clump that was refused comes to rest within this.
const REFUSED_WITHIN: Duration = Duration::from_millis(300);

/// What a dispatcher knows and holds while its messages are measured.
#[derive(Clone, Copy, Debug)]
struct Situation {
    serving: u32,
    down: u32,
    held: u32,
}

/// Destinations that are down come after those that serve.
fn listed(bench: &Bench, situation: Situation) -> Vec<Destination> {
    let mut all = destinations(situation.serving, &bench.peers.serving);
    let first = u64::from(situation.serving) + 1;
    let down = (first..first + u64::from(situation.down)).map(|number| Destination {
        number,
        endpoint: bench.peers.down,
    });
    all.extend(down);
    all
}

/// The destinations of held messages: those that are down, in turn.
fn held(situation: Situation) -> Vec<u64> {
    let first = u64::from(situation.serving) + 1;
    (0..u64::from(situation.held))
        .map(|i| first + i % u64::from(situation.down.max(1)))
        .collect()
}

/// Destinations at even distances over all that serve, in turn.
fn load(serving: u32, count: usize) -> Vec<u64> {
    /// A number that shares no factor with the sizes, and so passes over all of them.
    const STRIDE: u64 = 7_919;
    (0..count as u64)
        .map(|i| i * STRIDE % u64::from(serving) + 1)
        .collect()
}

/// Microseconds of processor time that a message costs in this situation.
fn message_us(bench: &Bench, situation: Situation) -> Result<f64> {
    let process = bench
        .place
        .start(bench.peers.platform, &listed(bench, situation))?;
    if situation.held > 0 {
        let mut client = Client::connect(process.listen)?.numbered_from(HELD_FROM);
        client.hand_in_all(&held(situation), &bench.body())?;
        std::thread::sleep(REFUSED_WITHIN);
    }
    let mut client = Client::connect(process.listen)?;
    client.hand_in_paced(&load(situation.serving, WARM_UP), &bench.body(), bench.rate)?;
    process.quiet()?;
    let before = process.processor_us()?;
    client.hand_in_paced(
        &load(situation.serving, bench.sizes.messages),
        &bench.body(),
        bench.rate,
    )?;
    process.quiet()?;
    Ok((process.processor_us()? - before) / bench.sizes.messages as f64)
}

fn series(
    bench: &Bench,
    id: SeriesId,
    sizes: &[u32],
    situation: impl Fn(u32) -> Situation,
) -> Result<Series> {
    let point = |size: &u32| {
        let once =
            |_| message_us(bench, situation(*size)).with_context(|| format!("{id:?} at {size}"));
        let times: Vec<f64> = (0..bench.sizes.repeats).map(once).collect::<Result<_>>()?;
        Ok(Point {
            size: f64::from(*size),
            value: Data::new(times).median(),
        })
    };
    Ok(Series::fitted(
        id,
        sizes.iter().map(point).collect::<Result<_>>()?,
    )?)
}

/// Measures all three, each from a process of its own at every size.
pub fn measure(bench: &Bench) -> Result<Vec<Series>> {
    let sizes = &bench.sizes;
    let serving = sizes.serving;
    let by_known = |known| Situation {
        serving: known,
        down: 0,
        held: 0,
    };
    let by_held = |held| Situation {
        serving,
        down: 1,
        held,
    };
    let by_down = |down| Situation {
        serving,
        down,
        held: down,
    };
    Ok(vec![
        series(
            bench,
            SeriesId::MessageTimeByKnown,
            &sizes.message_known,
            by_known,
        )?,
        series(
            bench,
            SeriesId::MessageTimeByHeld,
            &sizes.message_held,
            by_held,
        )?,
        series(
            bench,
            SeriesId::MessageTimeByDown,
            &sizes.message_down,
            by_down,
        )?,
    ])
}
