//! Measured slopes with their fits.

use super::text::Table;
use super::text::format_figure;
use crate::Fit;
use crate::Slopes;

pub(super) fn table(slopes: &Slopes) -> String {
    let columns = [
        "slope",
        "for each",
        "sizes",
        "slope (fit)",
        "least to most between neighbours",
        "at size 0",
        "straight",
        "load average",
    ];
    let mut table = Table::new("Slopes", &columns);
    for (name, slope) in &slopes.slopes {
        let fit = Fit::of(&slope.points);
        let loads = slope.points.iter().map(|p| p.load_average);
        let least_load = loads.clone().fold(f64::INFINITY, f64::min);
        let sizes: Vec<_> = slope.points.iter().map(|p| format_figure(p.x)).collect();
        let name = serde_json::to_string(name).unwrap_or_default();
        table.row(&[
            format!("`{}`", name.trim_matches('"')),
            slope.x_label.clone(),
            sizes.join(", "),
            format_figure(fit.slope),
            format!(
                "{} to {}",
                format_figure(fit.min_slope),
                format_figure(fit.max_slope)
            ),
            format_figure(fit.intercept),
            if fit.is_nonlinear() { "no" } else { "yes" }.to_owned(),
            format!(
                "{} to {}",
                format_figure(least_load),
                format_figure(loads.fold(0.0, f64::max))
            ),
        ]);
    }
    table.into_text()
}
