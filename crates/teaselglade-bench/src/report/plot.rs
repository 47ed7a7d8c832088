//! Draws a report as bar charts.

use plotters::coord::Shift;
use plotters::prelude::*;

use super::{BenchReport, PolicyReport};

/// Error of the drawing library.
pub type PlotError = Box<dyn std::error::Error + Send + Sync>;

const PLOT_SIZE_PIXELS: (u32, u32) = (1_000, 900);
/// Length of the value axis relative to the longest bar.
const AXIS_HEADROOM: f64 = 1.15;
const LABEL_AREA_PIXELS: u32 = 160;

#[derive(Debug)]
struct BarChart {
    caption: &'static str,
    bars: Vec<(String, f64)>,
}

pub(super) fn draw(report: &BenchReport) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw_charts(
        report,
        &SVGBackend::with_string(&mut svg, PLOT_SIZE_PIXELS).into_drawing_area(),
    )?;
    Ok(svg)
}

fn draw_charts(
    report: &BenchReport,
    root: &DrawingArea<SVGBackend<'_>, Shift>,
) -> Result<(), PlotError> {
    root.fill(&WHITE)?;
    let title = format!("{}, seeds {:?}", report.plan.fleet, report.plan.seeds);
    let body = root.titled(&title, ("sans-serif", 22))?;
    let areas = body.split_evenly((3, 1));
    for (area, chart) in areas.iter().zip(charts(report)) {
        draw_chart(area, &chart)?;
    }
    root.present()?;
    Ok(())
}

fn charts(report: &BenchReport) -> [BarChart; 3] {
    let bars = |value: fn(&PolicyReport) -> f64| {
        let policies = report.policies.iter();
        policies
            .map(|policy| (policy.policy.to_string(), value(policy)))
            .collect()
    };
    [
        BarChart {
            caption: "euro cents for 1,000 requests on target",
            bars: bars(|policy| policy.cents_per_thousand),
        },
        BarChart {
            caption: "requests on target, in 100",
            bars: bars(|policy| policy.on_target_share * 100.0),
        },
        BarChart {
            caption: "tokens computed again after a loss",
            bars: bars(|policy| policy.recomputed_tokens as f64),
        },
    ]
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    chart: &BarChart,
) -> Result<(), PlotError> {
    let axis_max = chart.bars.iter().map(|(_, value)| *value);
    let axis_max = axis_max.fold(f64::MIN_POSITIVE, f64::max) * AXIS_HEADROOM;
    let count = chart.bars.len();
    let mut context = ChartBuilder::on(area)
        .caption(chart.caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(LABEL_AREA_PIXELS)
        .build_cartesian_2d(0.0..axis_max, (0..count).into_segmented())?;
    let label = |segment: &SegmentValue<usize>| match segment {
        SegmentValue::CenterOf(index) => chart
            .bars
            .get(*index)
            .map_or_else(String::new, |(name, _)| name.clone()),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    context
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(count)
        .y_label_formatter(&label)
        .draw()?;
    let bars = chart.bars.iter().enumerate().map(|(index, (_, value))| {
        let corners = [
            (0.0, SegmentValue::Exact(index)),
            (*value, SegmentValue::Exact(index + 1)),
        ];
        let mut bar = Rectangle::new(corners, BLUE.mix(0.6).filled());
        bar.set_margin(3, 3, 0, 0);
        bar
    });
    context.draw_series(bars)?;
    Ok(())
}
