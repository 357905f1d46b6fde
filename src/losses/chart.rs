//! Chart of the outcomes over time.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend,
    WHITE,
};

use super::tally::{LossReport, OutcomeCounts, clock_time};
use crate::error::{MeshError, Result};

const CHART_SIZE: (u32, u32) = (1_200, 500);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 48;
const GREY: RGBColor = RGBColor(120, 120, 120);

/// One line of the chart: its label, colour and the count it shows.
type ChartLine = (&'static str, RGBColor, fn(&OutcomeCounts) -> u32);

const LINES: [ChartLine; 4] = [
    ("in time", RGBColor(27, 120, 55), |counts| counts.in_time),
    ("late", RGBColor(230, 159, 0), |counts| counts.late),
    ("refused", RGBColor(86, 180, 233), |counts| counts.refused),
    ("failed", RGBColor(213, 94, 0), |counts| counts.failed),
];

/// Draws requests per second by outcome, with the events of the control plane as vertical lines.
pub(crate) fn draw_chart(report: &LossReport, path: &Path) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| {
        let source = std::io::Error::other(error.to_string());
        MeshError::io(format!("cannot draw {}", path.display()), source)
    };
    let seconds = report.by_second();
    let (Some(first), Some(last)) = (seconds.keys().next(), seconds.keys().next_back()) else {
        return Err(failed(&"the lines hold no answered request"));
    };
    let highest = seconds
        .values()
        .flat_map(|counts| LINES.map(|line| line.2(counts)));
    let highest = highest.max().unwrap_or(1).max(1);
    let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Requests per second", ("sans-serif", 18))
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(
            *first as f64..(*last + 1) as f64,
            0.0..f64::from(highest) * 1.05,
        )
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_label_formatter(&|second| clock_time(second.round() as i64))
        .draw()
        .map_err(|error| failed(&error))?;
    for (time_s, _) in report.marks() {
        let ends = [(*time_s, 0.0), (*time_s, f64::from(highest))];
        let mark = LineSeries::new(ends, GREY.stroke_width(1));
        chart.draw_series(mark).map_err(|error| failed(&error))?;
    }
    for (label, color, count) in LINES {
        let points = seconds
            .iter()
            .map(|(second, counts)| (*second as f64, f64::from(count(counts))));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|error| failed(&error))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
