//! Reports the results of an experiment as text, CSV and plot.

mod csv;
mod plot;
mod table;

pub use self::csv::write_csv;
pub use self::plot::PlotError;
pub use self::plot::write_plot;
pub use self::table::markdown_table;
pub use self::table::text_line;
