//! Plot of worth by policy.

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use super::scoring::DayResults;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 520);

/// Draws the worth of each day as an SVG document, one curve per policy.
///
/// # Errors
/// Fails if the plot cannot be drawn.
pub fn plot_worth(rows: &[Vec<DayResults>]) -> Result<String> {
    let mut svg = String::new();
    draw(rows, &mut svg).map_err(|e| anyhow!("plot: {e}"))?;
    Ok(svg)
}

fn draw(rows: &[Vec<DayResults>], svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let days = rows.first().map_or(1, Vec::len).max(2);
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .caption("Worth of each day, worst to best", ("sans-serif", 20))
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0..days - 1, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("days")
        .y_desc("worth")
        .draw()?;
    for (i, policy) in rows.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let mut worth: Vec<f64> = policy.iter().map(|d| d.worth).collect();
        worth.sort_by(f64::total_cmp);
        let name = policy.first().map_or("", |d| d.policy.as_str()).to_owned();
        chart
            .draw_series(LineSeries::new(
                worth.into_iter().enumerate(),
                color.stroke_width(2),
            ))?
            .label(name)
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
