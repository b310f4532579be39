//! Plot of error-budget burn.

use anyhow::{Result, anyhow};
use azuresaddle_core::burn::BurnRow;
use plotters::prelude::*;

use super::burn::{Objective, rule_name};

/// Width of a plot, in pixels.
const WIDTH: u32 = 900;

/// Height of a row's bars, in pixels.
const ROW_HEIGHT: u32 = 36;

/// Height of the caption and the axis, in pixels.
const FRAME_HEIGHT: u32 = 120;

/// Draws the burn over the shortest window as an SVG document, with a group of bars for each account and rule.
///
/// # Errors
/// If drawing fails.
pub(super) fn draw(rows: &[BurnRow], budget: f64) -> Result<String> {
    let mut svg = String::new();
    draw_into(rows, budget, &mut svg).map_err(|e| anyhow!("plot: {e}"))?;
    Ok(svg)
}

fn draw_into(
    rows: &[BurnRow],
    budget: f64,
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let height = FRAME_HEIGHT + ROW_HEIGHT * rows.len().max(1) as u32;
    let root = SVGBackend::with_string(svg, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let burns: Vec<Vec<f64>> = rows
        .iter()
        .map(|row| objective_burns(row, budget))
        .collect();
    let max_burn = burns.iter().flatten().copied().fold(1.5, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .caption(
            "Burn of the error budget; above 1 it is overspent",
            ("sans-serif", 18),
        )
        .x_label_area_size(40)
        .y_label_area_size(220)
        .build_cartesian_2d(0.0..max_burn * 1.05, 0.0..rows.len().max(1) as f64)?;
    let label = |y: &f64| {
        let row = rows.get(*y as usize).filter(|_| y.fract() == 0.0);
        row.map_or(String::new(), |r| format!("{} {}", r.account, rule_name(r)))
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows.len().max(1))
        .y_label_formatter(&label)
        .x_desc("burn")
        .draw()?;
    let width = 0.8 / Objective::ALL.len() as f64;
    for (i, objective) in Objective::ALL.into_iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let bars = burns.iter().enumerate().map(|(row, values)| {
            let low = row as f64 + 0.1 + width * i as f64;
            Rectangle::new([(0.0, low), (values[i], low + width)], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(objective.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 14, y + 4)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Burn over the shortest window of a row, for each objective.
fn objective_burns(row: &BurnRow, budget: f64) -> Vec<f64> {
    let counts = row.windows.first().copied().unwrap_or_default();
    let burn = |objective: Objective| objective.burn(&counts, budget);
    Objective::ALL.into_iter().map(burn).collect()
}
