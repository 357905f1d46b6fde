//! Log lines of the simulated processes, with simulated time, for schedules that are played again with `FOLLOWING_TRACE`.

use std::sync::Mutex;

use tokio::time::Instant;

#[derive(Debug)]
struct TraceLogger;

static LOGGER: TraceLogger = TraceLogger;
static BEGAN_AT: Mutex<Option<Instant>> = Mutex::new(None);

impl log::Log for TraceLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let is_own = record.target().starts_with("ebonyjunction");
        if let Some(began_at) = BEGAN_AT.lock().unwrap().filter(|_| is_own) {
            let at = began_at.elapsed().as_millis();
            println!("{at} | {} {}", record.args(), KeyValues(record));
        }
    }

    fn flush(&self) {}
}

/// Key-value pairs of a record.
struct KeyValues<'a>(&'a log::Record<'a>);

impl std::fmt::Display for KeyValues<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        struct Writer<'a, 'b>(&'a mut std::fmt::Formatter<'b>);
        impl<'kvs> log::kv::VisitSource<'kvs> for Writer<'_, '_> {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                write!(self.0, "{key}={value} ").map_err(Into::into)
            }
        }
        let mut writer = Writer(formatter);
        let visited = self.0.key_values().visit(&mut writer);
        visited.map_err(|_| std::fmt::Error)
    }
}

/// Starts to print log lines if they are asked for, and returns whether they are.
pub fn start() -> bool {
    if std::env::var_os("FOLLOWING_TRACE").is_none() {
        return false;
    }
    *BEGAN_AT.lock().unwrap() = Some(Instant::now());
    // Another schedule of this process may have set it.
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    true
}
