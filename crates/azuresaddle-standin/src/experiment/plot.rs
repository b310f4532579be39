//! Plots of the distribution of first-token times.

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use super::catalog::ExperimentRow;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 560);

/// Number of points of each curve.
const POINTS: usize = 200;

/// Draws the distribution of the first-token times of short prompts as an SVG document, one curve
/// per row.
///
/// # Errors
/// Fails if the plot cannot be drawn.
pub fn plot_first_tokens(rows: &[ExperimentRow]) -> Result<String> {
    let mut svg = String::new();
    draw(rows, &mut svg).map_err(|e| anyhow!("plot: {e}"))?;
    Ok(svg)
}

fn draw(rows: &[ExperimentRow], svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let longest = rows.iter().map(|row| row.short_ms[2]).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .caption("First token of short prompts", ("sans-serif", 20))
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((1.0..longest * 2.0).log_scale(), 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("milliseconds")
        .y_desc("part of the prompts")
        .draw()?;
    for (i, row) in rows.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let histogram = &row.results().classes[0].first_token_us;
        let points = (1..=POINTS).map(|n| {
            let part = n as f64 / POINTS as f64;
            (histogram.value_at_quantile(part) as f64 / 1000.0, part)
        });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(format!("{} ({})", row.policy, row.variant))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
