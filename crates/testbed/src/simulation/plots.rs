//! Plots of simulated days: activation delay and budget utilization, by fleet size and by message loss, for
//! several lease durations.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;
use tindoor::time::Span;

use super::DaySettings;
use super::many_days::{Day, fill_utilization, simulate_days};

/// The numbers of routers in plots by fleet size.
const FLEET_SIZES: [usize; 6] = [3, 7, 15, 30, 60, 120];
/// The lease durations, in milliseconds; each plot has one line for each of them.
const LEASES_MS: [u64; 3] = [750, 1500, 3000];
/// The fractions of messages lost in plots by message loss.
const LOSSES: [f64; 6] = [0.0, 0.05, 0.1, 0.2, 0.3, 0.4];
/// The number of routers in plots by message loss.
const LOSS_FLEET_SIZE: usize = 7;
/// The fills per second that each router of a fleet adds to the shared budget.
const FILLS_PER_SECOND_PER_ROUTER: f64 = 14.0;
/// The width and height of each plot, in pixels.
const IMAGE_SIZE_PX: (u32, u32) = (640, 400);

/// A line of a plot: its label and its points (x, y).
pub type Series = (String, Vec<(f64, f64)>);

/// The content of a plot.
struct Plot {
    /// The file name, without its extension.
    name: &'static str,
    x_label: &'static str,
    y_label: &'static str,
    lines: Vec<Series>,
}

/// Simulates the days and writes the plots as SVG files to a folder. Returns the name and the lines of each
/// plot.
pub fn draw(seed: u64, folder: &Path) -> Result<Vec<(String, Vec<Series>)>> {
    std::fs::create_dir_all(folder)?;
    let plots = simulate_plots(seed);
    for plot in &plots {
        let path = folder.join(format!("{}.svg", plot.name));
        plot.draw(&path).map_err(|error| anyhow!("{}: {error}", plot.name))?;
    }
    Ok(plots.into_iter().map(|plot| (plot.name.to_string(), plot.lines)).collect())
}

fn simulate_plots(seed: u64) -> Vec<Plot> {
    vec![
        Plot {
            name: "hold-by-size",
            x_label: "routers",
            y_label: "s until a change holds (median)",
            lines: for_each_lease(|lease_ms| delays_by_size(seed, lease_ms)),
        },
        Plot {
            name: "hold-by-loss",
            x_label: "messages lost, %",
            y_label: "s until a change holds (median)",
            lines: for_each_lease(|lease_ms| delays_by_loss(seed, lease_ms)),
        },
        Plot {
            name: "use-by-size",
            x_label: "routers",
            y_label: "used of the whole",
            lines: for_each_lease(|lease_ms| utilization_by_size(seed, lease_ms)),
        },
        Plot {
            name: "use-by-loss",
            x_label: "messages lost, %",
            y_label: "used of the whole",
            lines: for_each_lease(|lease_ms| utilization_by_loss(seed, lease_ms)),
        },
    ]
}

fn for_each_lease(points: impl Fn(u64) -> Vec<(f64, f64)>) -> Vec<Series> {
    let line = |lease_ms: u64| (format!("lease {:.2} s", lease_ms as f64 / 1e3), points(lease_ms));
    LEASES_MS.into_iter().map(line).collect()
}

fn delays_by_size(seed: u64, lease_ms: u64) -> Vec<(f64, f64)> {
    let delay = |size| median_delay_s(&simulate_days(&settings(seed, size, lease_ms, 0.0), 4));
    FLEET_SIZES.into_iter().filter_map(|size| Some((size as f64, delay(size)?))).collect()
}

fn delays_by_loss(seed: u64, lease_ms: u64) -> Vec<(f64, f64)> {
    let delay = |loss| median_delay_s(&simulate_days(&settings(seed, LOSS_FLEET_SIZE, lease_ms, loss), 8));
    LOSSES.into_iter().filter_map(|loss| Some((loss * 100.0, delay(loss)?))).collect()
}

fn utilization_by_size(seed: u64, lease_ms: u64) -> Vec<(f64, f64)> {
    let point = |size| (size as f64, budget_utilization(settings(seed, size, lease_ms, 0.0)));
    FLEET_SIZES.into_iter().map(point).collect()
}

/// Returns the budget utilization by message loss. Message loss is not a disturbance, so utilization is
/// measured throughout the day.
fn utilization_by_loss(seed: u64, lease_ms: u64) -> Vec<(f64, f64)> {
    let point = |loss| (loss * 100.0, budget_utilization(settings(seed, LOSS_FLEET_SIZE, lease_ms, loss)));
    LOSSES.into_iter().map(point).collect()
}

fn settings(seed: u64, routers: usize, lease_ms: u64, loss: f64) -> DaySettings {
    let mut day = DaySettings::new(seed, routers);
    day.timings.lease = Span::millis(lease_ms);
    day.timings.heartbeat_interval = Span::millis(lease_ms.min(1500) / 8);
    day.timings.quorum_loss_grace = Span::millis(4 * lease_ms);
    day.fault_duration = Span::secs(16.0);
    day.proposal_interval = Span::millis(2500 + 2 * lease_ms);
    day.loss = loss;
    if loss > 0.0 {
        day.faults = vec!["drop".into()];
    }
    day
}

fn median_delay_s(days: &[Day]) -> Option<f64> {
    let delays = days.iter().flat_map(|day| &day.outcome.activation_delays);
    let mut delays_us: Vec<u64> = delays.map(|delay| delay.as_micros()).collect();
    delays_us.sort_unstable();
    Some(*delays_us.get(delays_us.len() / 2)? as f64 / 1e6)
}

fn budget_utilization(settings: DaySettings) -> f64 {
    let settings = DaySettings {
        fills_per_second: Some(FILLS_PER_SECOND_PER_ROUTER * settings.routers as f64),
        fault_duration: Span::secs(24.0),
        ..settings
    };
    fill_utilization(&simulate_days(&settings, 4))
}

impl Plot {
    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, IMAGE_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let (max_x, max_y) = (self.axis_end(|point| point.0), self.axis_end(|point| point.1));
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart.configure_mesh().x_desc(self.x_label).y_desc(self.y_label).draw()?;
        for (index, (name, points)) in self.lines.iter().enumerate() {
            let style = Palette99::pick(index).to_rgba().stroke_width(2);
            chart
                .draw_series(LineSeries::new(points.iter().copied(), style))?
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the end of an axis, 10 % beyond the largest coordinate.
    fn axis_end(&self, coordinate: fn(&(f64, f64)) -> f64) -> f64 {
        self.lines.iter().flat_map(|line| &line.1).map(coordinate).fold(0.0, f64::max) * 1.1
    }
}
