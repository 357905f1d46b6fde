//! Counters and latency histograms, served as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{MetricSink, StatsdClient};
use hdrhistogram::Histogram;
use http::{Method, StatusCode};
use tokio::net::TcpListener;

use crate::admission::RequestRate;
use crate::error::{MeshError, Result};

use super::limit_usage::UsageReport;

use super::http_api::{ApiHandler, ApiRequest, ApiResponse, serve_api};
use super::state::lock;

const PREFIX: &str = "ebonyjunction";
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of series. Metric names are fixed in the code, so more would mean that a name contains an identifier.
const MAX_SERIES: usize = 512;
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Metrics of one process, filled through a `cadence` client.
#[derive(Debug, Clone, Default)]
pub struct MetricsPage {
    series: Arc<Mutex<MetricSeries>>,
}

#[derive(Debug, Default)]
struct MetricSeries {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, f64>,
    histograms: BTreeMap<String, Histogram<u64>>,
    rejected: u64,
}

impl MetricsPage {
    /// Returns a client that writes to this page.
    pub fn client(&self) -> StatsdClient {
        StatsdClient::from_sink(PREFIX, self.clone())
    }

    /// Renders all series as text, one sample per line.
    pub fn render(&self) -> String {
        let series = lock(&self.series);
        let mut page = String::new();
        // Writing to a String cannot fail.
        for (name, value) in &series.counters {
            let _ = writeln!(page, "{name}_total {value}");
        }
        for (name, value) in &series.gauges {
            let _ = writeln!(page, "{name} {value}");
        }
        for (name, histogram) in &series.histograms {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(page, "{name}_ms_count {}", histogram.len());
        }
        let _ = writeln!(page, "{PREFIX}_rejected_samples_total {}", series.rejected);
        page
    }
}

impl MetricSink for MetricsPage {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut series = lock(&self.series);
        if series.take(metric).is_none() {
            series.rejected += 1;
        }
        Ok(metric.len())
    }
}

impl MetricSeries {
    fn take(&mut self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut fields = rest.split('|');
        let value: f64 = fields.next()?.parse().ok()?;
        let kind = fields.next()?;
        let name = name.replace('.', "_");
        let len = self.counters.len() + self.gauges.len() + self.histograms.len();
        let is_known = self.counters.contains_key(&name)
            || self.gauges.contains_key(&name)
            || self.histograms.contains_key(&name);
        if len >= MAX_SERIES && !is_known {
            return None;
        }
        match kind {
            "c" => *self.counters.entry(name).or_default() += value as i64,
            "g" => drop(self.gauges.insert(name, value)),
            "ms" => {
                let histogram = match self.histograms.entry(name) {
                    std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
                    std::collections::btree_map::Entry::Vacant(entry) => {
                        entry.insert(Histogram::new(SIGNIFICANT_DIGITS).ok()?)
                    }
                };
                histogram.saturating_record(value as u64);
            }
            _ => return None,
        }
        Some(())
    }
}

/// Metrics of a gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    pub(super) page: MetricsPage,
    client: StatsdClient,
}

impl GatewayMetrics {
    pub(super) fn new() -> Self {
        let page = MetricsPage::default();
        let client = page.client();
        Self { page, client }
    }

    pub(super) fn count(&self, name: &str) {
        // The page's sink never fails, so the result is ignored.
        let _ = self.client.incr(name);
    }

    /// Shows how much of the target's limit was served.
    pub(super) fn show_usage(&self, report: &UsageReport) {
        let per_s = report.limit.map_or(0.0, RequestRate::per_second);
        let is_limited = f64::from(u8::from(report.limit.is_some()));
        let _ = self.client.gauge("target_limit.in_force", is_limited);
        let _ = self.client.gauge("target_limit.per_s", per_s);
        let _ = self
            .client
            .gauge("target_limit.served_share", report.served_share());
        let _ = self
            .client
            .count("target_limit.served", i64::from(report.served));
        let _ = self
            .client
            .count("target_limit.refused", i64::from(report.refused));
    }

    /// Shows the version of the routes that came into force, and the time since the leader applied it.
    pub(super) fn show_routes(&self, version: u64, age: Duration) {
        let _ = self.client.gauge("route_version", version);
        self.time("routes_delay", age);
    }

    pub(super) fn time(&self, name: &str, span: Duration) {
        let _ = self.client.time(name, span);
    }
}

#[derive(Debug)]
struct MetricsHandler(MetricsPage);

impl ApiHandler for MetricsHandler {
    fn handle(
        &self,
        request: ApiRequest,
    ) -> std::pin::Pin<Box<dyn Future<Output = ApiResponse> + Send + '_>> {
        let response = if request.method == Method::GET {
            ApiResponse::text(StatusCode::OK, self.0.render())
        } else {
            ApiResponse::text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n")
        };
        Box::pin(std::future::ready(response))
    }
}

/// Serves the page on an address until the process ends.
pub async fn serve_metrics(address: SocketAddr, page: MetricsPage) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| MeshError::io(format!("cannot listen on {address} (metrics)"), source))?;
    tokio::spawn(serve_api(
        listener,
        "metrics",
        Arc::new(MetricsHandler(page)),
    ));
    Ok(())
}
