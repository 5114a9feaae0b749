//! Plots of simulated days: how long a change takes to hold, and how much of a budget is used, against the fleet's size,
//! the lease and the loss of messages.

use std::path::Path;
use std::sync::Mutex;

use anyhow::{Result, anyhow};
use plotters::prelude::*;
use tindoor::time::Span;

use crate::world::{Came, Day, play};

const SIZES: [usize; 6] = [3, 7, 15, 30, 60, 120];
const LEASES_MS: [u64; 3] = [750, 1500, 3000];
const LOSSES: [f64; 6] = [0.0, 0.05, 0.1, 0.2, 0.3, 0.4];

/// A line of a plot.
type Series = (String, Vec<(f64, f64)>);

/// Plays some days on all cores.
fn days(first: &Day, count: u64) -> Vec<Came> {
    let came = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for nth in 0..count {
            let came = &came;
            scope.spawn(move || {
                let day = Day { seed: first.seed + nth, ..first.clone() };
                let played = play(&day);
                came.lock().unwrap().push(played);
            });
        }
    });
    came.into_inner().unwrap()
}

fn day(seed: u64, routers: usize, lease_ms: u64, loss: f64) -> Day {
    let mut day = Day::new(seed, routers);
    day.terms.lease = Span::millis(lease_ms);
    day.terms.heartbeat_interval = Span::millis(lease_ms.min(1500) / 8);
    day.terms.quorum_loss_grace = Span::millis(4 * lease_ms);
    day.lasts = Span::secs(16.0);
    day.proposals = Span::millis(2500 + 2 * lease_ms);
    day.loss = loss;
    if loss > 0.0 {
        day.faults = vec!["drop".into()];
    }
    day
}

fn held(came: &[Came]) -> Option<f64> {
    let mut held: Vec<u64> =
        came.iter().flat_map(|came| &came.held_after).map(|span| span.as_micros()).collect();
    held.sort_unstable();
    Some(*held.get(held.len() / 2)? as f64 / 1e6)
}

fn used(came: &[Came]) -> f64 {
    let [filled, allowed] =
        [|came: &Came| came.filled, |came: &Came| came.allowed].map(|of| came.iter().map(of).sum());
    filled / f64::max(allowed, 1.0)
}

/// Plays the days and draws the plots; the numbers that they show.
pub fn draw(seed: u64, folder: &Path) -> Result<Vec<(String, Vec<Series>)>> {
    std::fs::create_dir_all(folder)?;
    let by_lease = |what: &dyn Fn(u64) -> Vec<(f64, f64)>| -> Vec<Series> {
        LEASES_MS.iter().map(|lease| (format!("lease {:.2} s", *lease as f64 / 1e3), what(*lease))).collect()
    };
    let sizes = by_lease(&|lease| {
        let point = |size: &usize| Some((*size as f64, held(&days(&day(seed, *size, lease, 0.0), 4))?));
        SIZES.iter().filter_map(point).collect()
    });
    let losses = by_lease(&|lease| {
        let point = |loss: &f64| Some((*loss * 100.0, held(&days(&day(seed, 7, lease, *loss), 8))?));
        LOSSES.iter().filter_map(point).collect()
    });
    let budget = |size: usize, lease: u64, loss: f64| {
        let mut day = day(seed, size, lease, loss);
        (day.budget, day.lasts) = (Some(14.0 * size as f64), Span::secs(24.0));
        used(&days(&day, 4))
    };
    let use_by_size =
        by_lease(&|lease| SIZES.iter().map(|size| (*size as f64, budget(*size, lease, 0.0))).collect());
    let use_by_loss = by_lease(&|lease| {
        // What is lost ails a day to its end: use is counted all through it.
        LOSSES.iter().map(|loss| (*loss * 100.0, budget(7, lease, *loss))).collect()
    });
    let plots = vec![
        ("hold-by-size", "routers", "s until a change holds (median)", sizes),
        ("hold-by-loss", "messages lost, %", "s until a change holds (median)", losses),
        ("use-by-size", "routers", "used of the whole", use_by_size),
        ("use-by-loss", "messages lost, %", "used of the whole", use_by_loss),
    ];
    for (name, x, y, lines) in &plots {
        plot(&folder.join(format!("{name}.svg")), x, y, lines).map_err(|what| anyhow!("{name}: {what}"))?;
    }
    Ok(plots.into_iter().map(|(name, _, _, lines)| (name.to_string(), lines)).collect())
}

fn plot(path: &Path, x: &str, y: &str, lines: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let most =
        |of: fn(&(f64, f64)) -> f64| lines.iter().flat_map(|line| &line.1).map(of).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most(|point| point.0), 0.0..most(|point| point.1))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (nth, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(nth).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
