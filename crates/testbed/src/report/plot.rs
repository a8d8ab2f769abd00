//! Line charts with shaded spans, rendered as SVG.

use anyhow::{Result, anyhow};
use plotters::prelude::*;

/// A line of a chart.
pub struct Line {
    /// The name in the legend; an unnamed line has no entry there.
    pub name: String,
    /// The index into the colour palette.
    pub colour: usize,
    pub thin: bool,
    pub points: Vec<(f64, f64)>,
}

/// A shaded span of the x axis.
pub struct Span {
    pub name: String,
    pub from: f64,
    pub to: f64,
}

/// A line chart.
pub struct Chart<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
    pub lines: Vec<Line>,
    pub spans: &'a [Span],
    /// Horizontal reference lines: y value and name.
    pub levels: Vec<(f64, &'a str)>,
    pub y_log: bool,
    /// The minimum upper end of the y axis.
    pub y_top: f64,
    /// The minimum upper end of the x axis, which starts at 0 or below.
    pub x_to: f64,
    /// Formats the labels of the x axis, if they are not plain numbers.
    pub x_formatter: Option<fn(f64) -> String>,
}

/// A palette that people with colour vision deficiency can tell apart.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
    RGBColor(120, 94, 240),
    RGBColor(90, 90, 90),
];
const SIZE: (u32, u32) = (860, 300);

fn format_number(y: f64) -> String {
    match y.abs() {
        y if y >= 1e6 => format!("{:.1}M", y / 1e6),
        y if y >= 1e4 => format!("{:.0}k", y / 1e3),
        y if y >= 100.0 || y == y.trunc() => format!("{y:.0}"),
        y if y >= 1.0 => format!("{y:.1}"),
        _ => format!("{y:.2}"),
    }
}

impl Chart<'_> {
    /// Renders the chart as an SVG element.
    pub fn svg(&self) -> Result<String> {
        let all = || {
            self.lines
                .iter()
                .flat_map(|l| &l.points)
                .filter(|p| p.1.is_finite())
        };
        let (from, to) = all().fold((0.0, self.x_to.max(0.1)), |r: (f64, f64), p| {
            (r.0.min(p.0), r.1.max(p.0))
        });
        let top = all()
            .map(|p| p.1)
            .chain(self.levels.iter().map(|l| l.0))
            .fold(self.y_top, f64::max)
            * 1.05;
        let top = if top > 0.0 { top } else { 1.0 };
        let mut svg = String::new();
        {
            let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            let mut builder = ChartBuilder::on(&root);
            builder.caption(self.title, ("sans-serif", 16)).margin(8);
            builder.x_label_area_size(34).y_label_area_size(56);
            let low = all()
                .map(|p| p.1)
                .filter(|y| *y > 0.0)
                .fold(f64::MAX, f64::min)
                .min(top / 10.0);
            // Linear and logarithmic axes have different types, so that a function could not take both.
            macro_rules! draw {
                ($range:expr, $bottom:expr) => {{
                    let mut chart = builder
                        .build_cartesian_2d(from..to, $range)
                        .map_err(|e| anyhow!("{e}"))?;
                    for span in self.spans {
                        let corners = [(span.from.max(from), $bottom), (span.to.min(to), top)];
                        let shade = RGBColor(230, 159, 0).mix(0.16).filled();
                        chart
                            .draw_series([Rectangle::new(corners, shade)])
                            .map_err(|e| anyhow!("{e}"))?;
                    }
                    let label = |x: &f64| {
                        self.x_formatter
                            .map_or_else(|| format_number(*x), |format| format(*x))
                    };
                    let mut mesh = chart.configure_mesh();
                    mesh.x_desc(self.x)
                        .y_desc(self.y)
                        .x_labels(11)
                        .y_labels(6)
                        .light_line_style(TRANSPARENT);
                    mesh.x_label_formatter(&label)
                        .y_label_formatter(&|y| format_number(*y));
                    mesh.draw().map_err(|e| anyhow!("{e}"))?;
                    for (height, name) in &self.levels {
                        let style = RGBColor(180, 30, 30).stroke_width(1);
                        let line = LineSeries::new([(from, *height), (to, *height)], style);
                        let drawn = chart.draw_series(line).map_err(|e| anyhow!("{e}"))?;
                        drawn
                            .label(*name)
                            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
                    }
                    for line in &self.lines {
                        let colour = COLOURS[line.colour % COLOURS.len()];
                        let style = colour.mix(if line.thin { 0.35 } else { 1.0 });
                        let style = style.stroke_width(if line.thin { 1 } else { 2 });
                        let points = line
                            .points
                            .iter()
                            .filter(|p| p.1.is_finite())
                            .map(|p| (p.0, p.1.max($bottom)));
                        let drawn = chart
                            .draw_series(LineSeries::new(points, style))
                            .map_err(|e| anyhow!("{e}"))?;
                        if !line.name.is_empty() {
                            drawn.label(&line.name).legend(move |(x, y)| {
                                PathElement::new([(x, y), (x + 16, y)], style)
                            });
                        }
                    }
                    let named = self.lines.iter().filter(|l| !l.name.is_empty()).count()
                        + self.levels.len();
                    if named > 1 || !self.levels.is_empty() {
                        let mut labels = chart.configure_series_labels();
                        labels
                            .background_style(WHITE.mix(0.8))
                            .border_style(RGBColor(200, 200, 200));
                        labels
                            .position(SeriesLabelPosition::LowerRight)
                            .draw()
                            .map_err(|e| anyhow!("{e}"))?;
                    }
                }};
            }
            if self.y_log {
                draw!((low..top).log_scale(), low);
            } else {
                draw!(0.0..top, 0.0);
            }
            root.present().map_err(|e| anyhow!("{e}"))?;
        }
        Ok(svg)
    }
}
