//! A change of the list, told whole and as a change: bytes on the wire and processor time.

use super::bench::Bench;
use super::fit::Point;
use super::listing::{Extent, destinations, line};
use super::process::Process;
use super::report::{Finding, Series, SeriesId};
use anyhow::Result;

/// What telling lists came to, for each list.
struct Told {
    bytes: f64,
    time_us: f64,
}

/// Tells the same kind of line several times, and takes the mean.
fn tell(bench: &Bench, process: &Process, times: u32, say: impl Fn(u32) -> String) -> Result<Told> {
    process.quiet()?;
    let (bytes, time) = (bench.peers.line_bytes(), process.processor_us()?);
    for i in 0..times {
        bench.peers.say(&say(i));
    }
    process.quiet()?;
    Ok(Told {
        bytes: (bench.peers.line_bytes() - bytes) as f64 / f64::from(times),
        time_us: (process.processor_us()? - time) / f64::from(times),
    })
}

/// Measures at each size, in one process a size.
pub fn measure(bench: &Bench) -> Result<Vec<Series>> {
    const FIRST_VERSION: u64 = 2;
    let (mut whole, mut change) = (vec![], vec![]);
    for known in &bench.sizes.change_known {
        let listed = destinations(*known, &bench.peers.serving);
        let process = bench.place.start(bench.peers.platform, &listed)?;
        bench.peers.watched()?;
        let version = |i: u32| FIRST_VERSION + u64::from(i);
        let one = |i: u32| {
            let first = i as usize % listed.len();
            line(version(i), Extent::Change, &listed[first..first + 1])
        };
        let all = |i: u32| line(version(i), Extent::Whole, &listed);
        let size = f64::from(*known);
        change.push((size, tell(bench, &process, bench.sizes.changes, one)?));
        whole.push((size, tell(bench, &process, bench.sizes.wholes, all)?));
    }
    let series = |id: SeriesId, told: &[(f64, Told)], value: fn(&Told) -> f64| {
        let points = told
            .iter()
            .map(|(size, told)| Point {
                size: *size,
                value: value(told),
            })
            .collect();
        Series::fitted(id, points)
    };
    Ok(vec![
        series(SeriesId::WholeBytesByKnown, &whole, |told| told.bytes)?,
        series(SeriesId::WholeTimeByKnown, &whole, |told| told.time_us)?,
        series(SeriesId::ChangeBytesByKnown, &change, |told| told.bytes)?,
        series(SeriesId::ChangeTimeByKnown, &change, |told| told.time_us)?,
    ])
}

/// Tells whole lists of growing size to dispatchers that know nothing, and asks each how much it knows then.
pub fn whole_lines(bench: &Bench) -> Result<Vec<Finding>> {
    let one = |sent: &u32| {
        let listed = destinations(*sent, &bench.peers.serving);
        let process = bench.place.start(bench.peers.platform, &[])?;
        bench.peers.watched()?;
        let told = tell(bench, &process, 1, |_| line(2, Extent::Whole, &listed))?;
        Ok(Finding::WholeLine {
            sent: *sent,
            bytes: told.bytes as u64,
            known_after: process.known()?,
        })
    };
    bench.sizes.whole_lines.iter().map(one).collect()
}
