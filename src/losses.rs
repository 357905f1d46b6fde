//! Losses of a period, worked out from the log lines of nodes and replicas: which requests were late, refused or failed, at
//! which moment and for which reason, and how much work was done for requests that failed in the end.

mod chart;
mod line;
mod tally;

pub(crate) use chart::draw_chart;
pub(crate) use tally::LossTally;
