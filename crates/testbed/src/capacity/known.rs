//! Memory and start-up time by the destinations known.

use super::bench::Bench;
use super::fit::Point;
use super::listing::destinations;
use super::report::{Finding, Series, SeriesId};
use anyhow::Result;

/// What one start came to.
struct Start {
    known: u32,
    memory: f64,
    peak: f64,
    time_us: f64,
}

fn start(bench: &Bench, known: u32) -> Result<Start> {
    let listed = destinations(known, &bench.peers.serving);
    let process = bench.place.start(bench.peers.platform, &listed)?;
    let memory = process.memory()?;
    Ok(Start {
        known,
        memory: memory.now,
        peak: memory.peak,
        time_us: process.start_us,
    })
}

/// Starts a dispatcher at each size.
pub fn measure(bench: &Bench) -> Result<Vec<Series>> {
    let starts: Vec<Start> = bench
        .sizes
        .known
        .iter()
        .map(|known| start(bench, *known))
        .collect::<Result<_>>()?;
    let series = |id: SeriesId, value: fn(&Start) -> f64| {
        let point = |start: &Start| Point {
            size: f64::from(start.known),
            value: value(start),
        };
        Series::fitted(id, starts.iter().map(point).collect())
    };
    Ok(vec![
        series(SeriesId::MemoryByKnown, |start| start.memory)?,
        series(SeriesId::PeakMemoryByKnown, |start| start.peak)?,
        series(SeriesId::StartTimeByKnown, |start| start.time_us)?,
    ])
}

/// Starts a dispatcher far beyond the fitted sizes, and tells what the lines say of it.
pub fn large_start(bench: &Bench, known: u32, fitted: &[Series]) -> Result<Finding> {
    let large = start(bench, known)?;
    let said = |id: SeriesId| {
        let series = fitted.iter().find(|series| series.id == id);
        series.map_or(f64::NAN, |series| series.fit.at(f64::from(known)))
    };
    Ok(Finding::LargeStart {
        known,
        memory_bytes: large.memory,
        memory_fitted: said(SeriesId::MemoryByKnown),
        peak_bytes: large.peak,
        start_us: large.time_us,
        start_fitted: said(SeriesId::StartTimeByKnown),
    })
}
