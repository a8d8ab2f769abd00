//! Lines over marked spans, as SVG.

use anyhow::{Result, anyhow};
use plotters::prelude::*;

pub struct Line {
    pub name: String,
    /// Lines of one number have one colour.
    pub colour: usize,
    pub thin: bool,
    pub points: Vec<(f64, f64)>,
}

/// A span that is shaded, with what it was.
pub struct Span {
    pub name: String,
    pub from: f64,
    pub to: f64,
}

pub struct Chart<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
    pub lines: Vec<Line>,
    pub spans: &'a [Span],
    /// Lines across, at these heights.
    pub levels: Vec<(f64, &'a str)>,
    pub y_log: bool,
    /// The least that the y axis reaches up to.
    pub y_top: f64,
    /// Where the x axis ends at least; its start is nought, or before.
    pub x_to: f64,
    /// Words for points of the x axis, where its numbers say nothing.
    pub x_words: Option<fn(f64) -> String>,
}

/// Told apart by people who see few colours, too.
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

fn number(y: f64) -> String {
    match y.abs() {
        y if y >= 1e6 => format!("{:.1}M", y / 1e6),
        y if y >= 1e4 => format!("{:.0}k", y / 1e3),
        y if y >= 100.0 || y == y.trunc() => format!("{y:.0}"),
        y if y >= 1.0 => format!("{y:.1}"),
        _ => format!("{y:.2}"),
    }
}

impl Chart<'_> {
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
            // The two kinds of axis are two types: the body is the same.
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
                    let words = |x: &f64| self.x_words.map_or_else(|| number(*x), |w| w(*x));
                    let mut mesh = chart.configure_mesh();
                    mesh.x_desc(self.x)
                        .y_desc(self.y)
                        .x_labels(11)
                        .y_labels(6)
                        .light_line_style(TRANSPARENT);
                    mesh.x_label_formatter(&words)
                        .y_label_formatter(&|y| number(*y));
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
