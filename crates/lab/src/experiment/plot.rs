//! A plot of stall time and tail gap over load.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::{
    backend::SVGBackend,
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::IntoDrawingArea,
    prelude::{IntoLogRange, LineSeries, Palette, Palette99, PathElement},
    style::{Color, WHITE},
};

use super::compare::{Report, Row};

const SIZE: (u32, u32) = (1_000, 450);

/// Draws the report into an SVG file.
pub(crate) fn draw(path: &Path, report: &Report) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(SIZE.0 / 2);
    panel(&left, report, "stall, s for 1,000 requests", |row| row.stall.mean)?;
    panel(&right, report, "gap between tokens, p99, ms", |row| row.gap_p99_ms.mean)?;
    root.present()?;
    Ok(())
}

fn panel(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &Report,
    title: &str,
    value: impl Fn(&Row) -> f64,
) -> Result<()> {
    // On a scale of powers, zero has no place.
    const SMALLEST: f64 = 0.01;
    let loads = || report.rows.iter().map(|row| row.load as f64);
    let low = loads().fold(f64::INFINITY, f64::min) - 1.0;
    let high = loads().fold(0.0, f64::max) + 1.0;
    let values = || report.rows.iter().map(|row| value(row).max(SMALLEST));
    let least = values().fold(f64::INFINITY, f64::min) / 10.0;
    let most = values().fold(SMALLEST, f64::max) * 2.0;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(low..high, (least..most).log_scale())?;
    chart.configure_mesh().x_desc("load, % of capacity").draw()?;
    let mut names: Vec<&str> = report.rows.iter().map(|row| row.policy.as_str()).collect();
    names.dedup();
    names.sort_unstable();
    names.dedup();
    for (i, name) in names.into_iter().enumerate() {
        let rows = report.rows.iter().filter(|row| row.policy == name);
        let points: Vec<(f64, f64)> =
            rows.map(|row| (row.load as f64, value(row).max(SMALLEST))).collect();
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| eyre!("cannot draw: {e}"))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleRight)
        .border_style(plotters::style::BLACK)
        .background_style(WHITE)
        .draw()?;
    Ok(())
}
