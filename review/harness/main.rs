//! Runs one case of the review: `harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod configurations;
mod connections;
mod mesh;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use mesh::{
    APP_PORT, Endpoint, INTERNAL_PORT, Place, Process, Proxy, Reaction, Record, send, wait_for,
};

/// A script may run for 120 seconds.
const RUN_LIMIT: Duration = Duration::from_secs(115);
const START_TIMEOUT: Duration = Duration::from_secs(25);
/// Hosts of the client's node and of the two nodes with endpoints of `orders`.
const CLIENT_HOST: u8 = 101;
const FIRST_HOST: u8 = 111;
const SECOND_HOST: u8 = 112;
/// Added to the host of a node for the address of the proxy in front of it.
const PROXY_OFFSET: u8 = 100;
const SLOTS: u32 = 36;
const DRAIN: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(6);
const CONTACT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        sleep(RUN_LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = Record::create(Path::new(path)).and_then(|record| {
        record.note(&format!("case {case}, trouble: {has_trouble}"));
        let verdict = match case.as_str() {
            "long-request" => long_request(&record, has_trouble),
            "late-copy" => late_copy(&record, has_trouble),
            "many-changes" => many_changes(&record, has_trouble),
            "replace-leader" => replace_leader(&record, has_trouble),
            "stop-with-queue" => stop_with_queue(&record, has_trouble),
            "left-client" => connections::left_client(&record, has_trouble),
            "slow-reader" => connections::slow_reader(&record, has_trouble),
            "raised-limit" => configurations::raised_limit(&record, has_trouble),
            "host-case" => configurations::host_case(&record, has_trouble),
            "changed-weights" => configurations::changed_weights(&record, has_trouble),
            "late-heartbeats" => late_heartbeats(&record, has_trouble),
            _ => Err(io::ErrorKind::InvalidInput.into()),
        };
        match &verdict {
            Ok(None) => record.note("verdict: the rule held"),
            Ok(Some(text)) => record.note(&format!("verdict: BROKEN: {text}")),
            Err(error) => record.note(&format!("verdict: could not run: {error}")),
        }
        verdict
    });
    match result {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(_)) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// What was broken, or `None` if the rule held.
type Verdict = io::Result<Option<String>>;

/// A client's node, one or two nodes with endpoints of the service `orders`, and the core.
struct Deployment {
    client: Process,
    nodes: Vec<Process>,
    endpoints: Vec<Arc<Endpoint>>,
    proxies: Vec<Proxy>,
    _front: Arc<Endpoint>,
    _cores: Vec<Process>,
    _place: Place,
}

impl Deployment {
    fn start<R>(
        record: &Record,
        (count, slots): (usize, u32),
        routes: &str,
        has_proxies: bool,
        react: R,
    ) -> io::Result<Self>
    where
        R: Fn(&mesh::Message, u64) -> Reaction + Clone + Send + Sync + 'static,
    {
        let until = Instant::now() + START_TIMEOUT;
        let place = Place::new(3)?;
        let address = |host: u8, port: u16| std::net::SocketAddr::new(place.ip(host), port);
        let cores = (1..=3)
            .map(|host| place.start_core(host))
            .collect::<io::Result<_>>()?;
        let client = place.start_sidecar(CLIENT_HOST, "front", None)?;
        let hosts = &[(FIRST_HOST, "E1"), (SECOND_HOST, "E2")][..count];
        let mut nodes = Vec::new();
        let mut endpoints = Vec::new();
        let mut proxies = Vec::new();
        for (host, name) in hosts {
            let proxy_host = host + PROXY_OFFSET;
            if has_proxies {
                let target = address(*host, INTERNAL_PORT);
                proxies.push(Proxy::start(address(proxy_host, INTERNAL_PORT), target)?);
            }
            let advertise = has_proxies.then(|| place.ip(proxy_host));
            nodes.push(place.start_sidecar(*host, "orders", advertise)?);
            let app = address(*host, APP_PORT);
            endpoints.push(Endpoint::start(
                name,
                "orders",
                slots,
                app,
                record,
                react.clone(),
            )?);
        }
        let front = address(CLIENT_HOST, APP_PORT);
        let front = Endpoint::start("F", "front", SLOTS, front, record, |_, _| {
            Reaction::default()
        })?;
        if !place.configure(routes, &["orders", "front"], until) {
            return Err(io::Error::other(
                "no core machine acknowledged the configuration",
            ));
        }
        let deployment = Self {
            client,
            nodes,
            endpoints,
            proxies,
            _front: front,
            _cores: cores,
            _place: place,
        };
        deployment.warm_up(record, until)?;
        Ok(deployment)
    }

    /// Sends reads until each endpoint has run one, so that the client's node knows all endpoints.
    fn warm_up(&self, record: &Record, until: Instant) -> io::Result<()> {
        let is_ready = || self.client.is_ready() && self.nodes.iter().all(Process::is_ready);
        if !wait_for(until, is_ready) {
            return Err(io::Error::other("the nodes did not become ready"));
        }
        let mut count = 0;
        let is_warm = wait_for(until, || {
            count += 1;
            self.read(record, &format!("warm-{count}"));
            self.endpoints
                .iter()
                .all(|endpoint| endpoint.has_run("warm-"))
        });
        if is_warm {
            Ok(())
        } else {
            Err(io::Error::other("an endpoint got no request"))
        }
    }

    fn read(&self, record: &Record, id: &str) -> Option<u16> {
        let path = format!("/look/{id}");
        send(
            record,
            &self.client,
            "GET",
            &path,
            id,
            Duration::from_secs(5),
        )
    }

    /// Returns how often the endpoints began to run a request.
    fn run_count(&self, id: &str) -> usize {
        let counts = self.endpoints.iter().map(|endpoint| endpoint.run_count(id));
        counts.sum()
    }

    /// Checks that a request that may run once did so, and that a refusal of it is true.
    fn judge_order(&self, id: &str, status: Option<u16>) -> Option<String> {
        let runs = self.run_count(id);
        if runs > 1 {
            return Some(format!("TWICE: {id} isn't idempotent and ran {runs} times"));
        }
        let promise = status.filter(|status| [408, 421, 429, 503].contains(status));
        let promise = promise.filter(|_| runs > 0)?;
        Some(format!("REFUSED: {id} was answered {promise} and has run"))
    }
}

fn routes(order_timeout: &str, order_goal: &str) -> String {
    format!(
        r#""r-pay":{{"host":"shop.example","prefix":"/pay/","kind":"non_idempotent","timeout":"{order_timeout}","goal":"{order_goal}","priority":0,"service":"orders","attempts":2}},"r-look":{{"host":"shop.example","prefix":"/look/","kind":"idempotent","timeout":"5s","goal":"1500ms","priority":2,"service":"orders","attempts":2}}"#
    )
}

/// An order runs for more than a minute; then the connections between the nodes are reset.
fn long_request(record: &Record, has_trouble: bool) -> Verdict {
    const WORK: Duration = Duration::from_secs(68);
    const RESET_AFTER: Duration = Duration::from_secs(62);
    let react = |request: &mesh::Message, _| Reaction {
        work: if request.first_line.starts_with("POST /pay/") {
            WORK
        } else {
            Duration::from_millis(20)
        },
        ..Reaction::default()
    };
    let deployment = Deployment::start(record, (2, SLOTS), &routes("90s", "90s"), true, react)?;
    let status = thread::scope(|scope| {
        let order = scope.spawn(|| {
            let deadline = Duration::from_secs(80);
            send(
                record,
                &deployment.client,
                "POST",
                "/pay/1",
                "order-1",
                deadline,
            )
        });
        let soon = Instant::now() + Duration::from_secs(5);
        if !wait_for(soon, || deployment.run_count("order-1") > 0) {
            return Err(io::Error::other("the order did not begin to run"));
        }
        let begun = Instant::now();
        while begun.elapsed() < RESET_AFTER {
            sleep(Duration::from_millis(100));
        }
        if has_trouble {
            let counts = deployment.proxies.iter().map(Proxy::reset_connections);
            let count: usize = counts.sum();
            record.note(&format!(
                "the {count} connections between the nodes are reset"
            ));
        }
        let until = begun + WORK + Duration::from_secs(3);
        wait_for(until, || {
            deployment.run_count("order-1") > 1 || order.is_finished()
        });
        // A second run is not awaited; the end of the processes ends the client's attempt.
        Ok(order
            .is_finished()
            .then(|| order.join().ok().flatten())
            .flatten())
    });
    Ok(deployment.judge_order("order-1", status?))
}

/// An endpoint that is full rejects an order, and a second copy of that answer comes late, where the next answer on the
/// connection is expected.
fn late_copy(record: &Record, has_trouble: bool) -> Verdict {
    const ORDERS: u64 = 40;
    /// Orders that find the endpoint full at first.
    const FULL_EVERY: u64 = 8;
    let rejected = Arc::new(std::sync::Mutex::new(std::collections::BTreeSet::new()));
    let react = move |request: &mesh::Message, _| {
        let id = request.header("request-id").to_owned();
        let number: u64 = id
            .strip_prefix("order-")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let is_full = number % FULL_EVERY == 1 && rejected.lock().unwrap().insert(id);
        Reaction {
            is_full,
            // One answer of more than forty, which is less than three in a hundred.
            has_late_copy: has_trouble && is_full && number == 1 + 2 * FULL_EVERY,
            work: Duration::from_millis(100),
            ..Reaction::default()
        }
    };
    let deployment = Deployment::start(record, (1, SLOTS), &routes("5s", "2s"), false, react)?;
    let mut verdict = None;
    for number in 1..=ORDERS {
        let id = format!("order-{number}");
        let deadline = Duration::from_secs(5);
        let path = format!("/pay/{number}");
        let status = send(record, &deployment.client, "POST", &path, &id, deadline);
        sleep(Duration::from_millis(300));
        verdict = verdict.or(deployment.judge_order(&id, status));
    }
    Ok(verdict)
}

/// An endpoint leaves and its node is killed; two heartbeats from before the leave arrive at the started node.
fn late_heartbeats(record: &Record, has_trouble: bool) -> Verdict {
    /// How long the endpoint goes on to serve after its leave was acknowledged.
    const SERVES_FOR: Duration = Duration::from_secs(9);
    let react = |_: &mesh::Message, _| Reaction {
        work: Duration::from_millis(20),
        ..Reaction::default()
    };
    let mut deployment = Deployment::start(record, (2, SLOTS), &routes("5s", "2s"), false, react)?;
    let leaving = Arc::clone(&deployment.endpoints[0]);
    leaving.hold_beats();
    if !wait_for(Instant::now() + Duration::from_secs(6), || {
        leaving.late_beats().len() == 2
    }) {
        return Err(io::Error::other("no heartbeats"));
    }
    sleep(Duration::from_millis(500));
    let status = leaving.leave();
    let left = Instant::now();
    record.note(&format!(
        "E1: leaves with a DELETE, which its node answers {status}"
    ));
    if status != 200 {
        return Err(io::Error::other("the leave was not acknowledged"));
    }
    sleep(Duration::from_millis(300));
    let mut node_started = left - CONTACT;
    if has_trouble {
        record.note("the node of E1 is killed");
        deployment.nodes[0].kill();
        sleep(Duration::from_millis(500));
        deployment.nodes[0].restart()?;
        node_started = Instant::now();
        record.note("the node of E1 is started again");
    }
    let deployment = &deployment;
    thread::scope(|scope| {
        let late = Arc::clone(&leaving);
        scope.spawn(move || {
            for (sequence, at_ms) in late.late_beats().iter().zip([2_500, 3_500]) {
                sleep(
                    (left + Duration::from_millis(at_ms)).saturating_duration_since(Instant::now()),
                );
                let status = late.put_heartbeat(*sequence);
                record.note(&format!(
                    "E1: heartbeat {sequence} from before its leave arrives; answered {status}"
                ));
            }
        });
        let mut number = 0;
        while left.elapsed() < SERVES_FOR {
            number += 1;
            let id = format!("read-{number}");
            scope.spawn(move || deployment.read(record, &id));
            sleep(Duration::from_millis(50));
        }
    });
    leaving.end();
    record.note("E1: exits");
    // Only requests are counted that reach the endpoint while its node has been in touch again.
    let from = (left + DRAIN).max(node_started + CONTACT);
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<&str> = runs
        .iter()
        .filter(|(_, at)| *at > from)
        .map(|(id, _)| id.as_str())
        .collect();
    record.note(&format!(
        "E1: {} requests reached it later than {:.1} s after its leave was acknowledged",
        late.len(),
        (from - left).as_secs_f64()
    ));
    Ok((!late.is_empty()).then(|| {
        format!(
            "DRAIN: {} requests reached E1, which had left, first {}",
            late.len(),
            late[0]
        )
    }))
}

/// The node of a client gets SIGTERM while orders of that client wait for the only slot of an endpoint.
fn stop_with_queue(record: &Record, has_trouble: bool) -> Verdict {
    const WORK: Duration = Duration::from_secs(4);
    const ORDERS: usize = 3;
    const DEADLINE: Duration = Duration::from_secs(12);
    let react = |request: &mesh::Message, _| Reaction {
        work: if request.first_line.starts_with("POST /pay/") {
            WORK
        } else {
            Duration::from_millis(20)
        },
        ..Reaction::default()
    };
    let mut deployment = Deployment::start(record, (1, 1), &routes("12s", "9s"), false, react)?;
    let address = deployment.client.address(mesh::OUTBOUND_PORT);
    let orders: Vec<_> = (1..=ORDERS)
        .map(|number| {
            let record = record.clone();
            sleep(Duration::from_millis(100));
            thread::spawn(move || {
                let id = format!("order-{number}");
                mesh::send_to(
                    &record,
                    address,
                    "POST",
                    &format!("/pay/{number}"),
                    &id,
                    DEADLINE,
                )
            })
        })
        .collect();
    sleep(Duration::from_millis(500));
    let stopped = Instant::now();
    if has_trouble {
        record.note("the client's node gets SIGTERM");
        deployment.client.terminate();
        let ends = stopped + GRACE;
        let has_ended = wait_for(ends, || deployment.client.has_ended());
        record.note(&format!("the client's node has ended: {has_ended}"));
    }
    let statuses: Vec<Option<u16>> = orders
        .into_iter()
        .map(|order| order.join().unwrap_or(None))
        .collect();
    // Excused is a request at which the endpoint was still at work in the last sixth of the grace.
    let last_sixth = stopped + GRACE * 5 / 6;
    let runs = deployment.endpoints[0].runs.lock().unwrap();
    let lost: Vec<String> = (1..=ORDERS)
        .map(|number| format!("order-{number}"))
        .zip(&statuses)
        .filter(|(id, status)| {
            let began = runs.iter().find(|(run, _)| run == id).map(|(_, at)| *at);
            let is_excused = began.is_some_and(|at| at < stopped + GRACE && at + WORK > last_sixth);
            status.is_none() && !is_excused
        })
        .map(|(id, _)| id)
        .collect();
    Ok((!lost.is_empty()).then(|| {
        format!(
            "LOST: {} had been read and got no answer, and no endpoint was at work on them",
            lost.join(", ")
        )
    }))
}

/// The platform of a core: kills a process that uses more than its memory, and starts a process that ended again.
struct Platform {
    cores: Vec<Process>,
    /// When a machine's process is started again, if it has ended.
    restarts: Vec<Option<Instant>>,
    kills: Vec<u32>,
    peak_bytes: u64,
}

impl Platform {
    const MEMORY_BYTES: u64 = 256 * 1024 * 1024;
    const RESTART_DELAY: Duration = Duration::from_millis(500);
    /// Kills of each machine that are written to the record one by one.
    const NOTED_KILLS: u32 = 4;

    fn new(cores: Vec<Process>) -> Self {
        Self {
            restarts: vec![None; cores.len()],
            kills: vec![0; cores.len()],
            cores,
            peak_bytes: 0,
        }
    }

    fn watch(&mut self, record: &Record) -> io::Result<()> {
        for (index, core) in self.cores.iter_mut().enumerate() {
            let ip = core.ip;
            if let Some(at) = self.restarts[index] {
                if Instant::now() >= at {
                    self.restarts[index] = None;
                    core.restart()?;
                    if self.kills[index] <= Self::NOTED_KILLS {
                        record.note(&format!("platform: {ip} is started again"));
                    }
                }
                continue;
            }
            let bytes = core.memory_bytes().unwrap_or(0);
            self.peak_bytes = self.peak_bytes.max(bytes);
            if bytes > Self::MEMORY_BYTES {
                core.kill();
                self.kills[index] += 1;
                if self.kills[index] <= Self::NOTED_KILLS {
                    let megabytes = bytes / 1024 / 1024;
                    record.note(&format!(
                        "platform: {ip} uses {megabytes} MB of 256 MB and is killed"
                    ));
                }
            } else if !core.has_ended() {
                continue;
            }
            self.restarts[index] = Some(Instant::now() + Self::RESTART_DELAY);
        }
        Ok(())
    }
}

/// A configuration with `count` routes; each version has another timeout.
fn document(version: u64, count: usize) -> String {
    let route = |index: usize| {
        let (host, timeout) = (index % 40, 1_200 + version);
        format!(
            r#""r-{index:07}":{{"host":"host{host}.example","prefix":"/path{index:05}/","kind":"idempotent","timeout":"{timeout}ms","goal":"2000ms","priority":2,"service":"orders","attempts":2}}"#
        )
    };
    let routes: Vec<String> = (0..count).map(route).collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{{}}},"services":{{"orders":{{"health_path":"/healthz","max_conns":316,"protocol":"h1","tls":false}}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        routes.join(",")
    )
}

/// The configuration grows by many routes; after that an operator makes some hundred changes, one after the other.
fn many_changes(record: &Record, has_trouble: bool) -> Verdict {
    const CORES: u8 = 5;
    const CHANGES: u64 = 480;
    const FIRST_ROUTES: usize = 20;
    const MORE_ROUTES: usize = 1_400;
    const CHANGING_FOR: Duration = Duration::from_secs(50);
    const READING_FOR: Duration = Duration::from_secs(20);
    const CALL_WAIT: Duration = Duration::from_millis(1_500);
    let place = Place::new(CORES)?;
    let cores = (1..=CORES)
        .map(|host| place.start_core(host))
        .collect::<io::Result<_>>()?;
    let addresses: Vec<_> = (1..=CORES)
        .map(|host| std::net::SocketAddr::new(place.ip(host), mesh::CONTROL_PORT))
        .collect();
    let platform = std::sync::Mutex::new(Platform::new(cores));
    let is_over = std::sync::atomic::AtomicBool::new(false);
    let order = std::sync::atomic::Ordering::SeqCst;
    let acknowledged = thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(order) {
                if let Err(error) = platform.lock().unwrap().watch(record) {
                    record.note(&format!("platform: {error}"));
                }
                sleep(Duration::from_millis(50));
            }
        });
        let started = Instant::now();
        let mut acknowledged = 0;
        let mut next_machine = 0;
        for version in 1..=CHANGES {
            let count = FIRST_ROUTES
                + if has_trouble && version > 1 {
                    MORE_ROUTES
                } else {
                    0
                };
            let body = document(version, count);
            let base = format!("If-Match: {acknowledged:08x}\r\n");
            // A call without a clear answer is sent again, to another machine.
            while acknowledged < version && started.elapsed() < CHANGING_FOR {
                let address = addresses[next_machine % addresses.len()];
                let answer = mesh::call_for(address, "PUT", "/v1/config", &base, &body, CALL_WAIT);
                match answer.map_or(0, |answer| answer.status()) {
                    200 => acknowledged = version,
                    400..500 => break,
                    _ => {
                        next_machine += 1;
                        sleep(Duration::from_millis(100));
                    }
                }
            }
            if version % 20 == 0 && acknowledged == version {
                let megabytes = platform.lock().unwrap().peak_bytes / 1024 / 1024;
                record.note(&format!(
                    "operator: version {version} with {count} routes is acknowledged; a core process uses up to {megabytes} MB"
                ));
            }
            if acknowledged < version {
                record.note(&format!(
                    "operator: version {version} has no acknowledgement"
                ));
                break;
            }
        }
        record.note(&format!(
            "operator: reads back; version {acknowledged} was acknowledged last"
        ));
        let reading = Instant::now();
        let mut found = None;
        while found.is_none() && reading.elapsed() < READING_FOR {
            next_machine += 1;
            let address = addresses[next_machine % addresses.len()];
            let answer = mesh::call_for(address, "GET", "/v1/config", "", "", CALL_WAIT);
            found = answer
                .ok()
                .filter(|answer| answer.status() == 200)
                .map(|answer| answer.body);
            sleep(Duration::from_millis(100));
        }
        is_over.store(true, order);
        (acknowledged, found)
    });
    let (acknowledged, found) = acknowledged;
    let kills = platform.lock().unwrap().kills.clone();
    record.note(&format!("platform: kills for memory by machine: {kills:?}"));
    let Some(found) = found else {
        return Ok(Some(format!(
            "CONFIG: read back, the configuration doesn't come; version {acknowledged} was acknowledged"
        )));
    };
    let text = String::from_utf8_lossy(&found).into_owned();
    let version = text.split('"').nth(3).unwrap_or_default().to_owned();
    record.note(&format!("operator: reads version {version}"));
    let version = u64::from_str_radix(&version, 16).unwrap_or(0);
    Ok((version < acknowledged).then(|| {
        format!("CONFIG: read back, the configuration is older than version {acknowledged}")
    }))
}

/// Returns the machine that leads, by the metrics page that the deploy file names.
fn find_leader(cores: &[(u8, Process)]) -> Option<u8> {
    const METRICS_PORT: u16 = 9464;
    let leads = |core: &Process| {
        let address = core.address(METRICS_PORT);
        let page = mesh::call_for(address, "GET", "/metrics", "", "", Duration::from_secs(1));
        let page = page.map_or(Vec::new(), |page| page.body);
        let text = String::from_utf8_lossy(&page).into_owned();
        text.lines()
            .any(|line| line.contains("is_leader") && line.ends_with(" 1"))
    };
    let found = cores.iter().find(|(_, core)| leads(core));
    found.map(|(host, _)| *host)
}

/// Sends a change to the machines in turn and returns whether one acknowledged it in time.
fn change_configuration(
    cores: &[(u8, Process)],
    (base, version): (u64, u64),
    within: Duration,
) -> bool {
    const CALL_WAIT: Duration = Duration::from_millis(1_500);
    let header = format!("If-Match: {base:08x}\r\n");
    let body = document(version, 20);
    let started = Instant::now();
    for (_, core) in cores.iter().cycle() {
        let address = core.address(mesh::CONTROL_PORT);
        let answer = mesh::call_for(address, "PUT", "/v1/config", &header, &body, CALL_WAIT);
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        if started.elapsed() > within {
            return false;
        }
        sleep(Duration::from_millis(100));
    }
    false
}

/// The core machine that leads is replaced by an empty one at another address, four times with 8 s between.
fn replace_leader(record: &Record, has_trouble: bool) -> Verdict {
    const CORES: u8 = 5;
    const REPLACEMENTS: u8 = 4;
    const GAP: Duration = Duration::from_secs(8);
    const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
    const LAST_WAIT: Duration = Duration::from_secs(15);
    const READING_FOR: Duration = Duration::from_secs(20);
    const CALL_WAIT: Duration = Duration::from_millis(1_500);
    let place = Place::new(CORES)?;
    let mut cores = Vec::new();
    for host in 1..=CORES {
        cores.push((host, place.start_core(host)?));
    }
    if !change_configuration(&cores, (0, 1), START_TIMEOUT) {
        return Err(io::Error::other(
            "the first configuration was not acknowledged",
        ));
    }
    record.note("operator: version 1 is acknowledged");
    sleep(Duration::from_secs(2));
    for number in 1..=REPLACEMENTS {
        let begun = Instant::now();
        if has_trouble {
            let mut leader = None;
            let soon = Instant::now() + Duration::from_secs(4);
            wait_for(soon, || {
                leader = find_leader(&cores);
                leader.is_some()
            });
            let Some(leader) = leader else {
                return Err(io::Error::other("no core machine leads"));
            };
            record.note(&format!("core machine {leader} is lost for good"));
            cores.retain(|(host, _)| *host != leader);
            sleep(SUCCESSOR_DELAY);
            let successor = CORES + number;
            let seeds: Vec<u8> = cores.iter().map(|(host, _)| *host).take(3).collect();
            cores.push((successor, place.start_successor(successor, &seeds)?));
            record.note(&format!("core machine {successor} is started in its place"));
        }
        sleep(GAP.saturating_sub(begun.elapsed()));
    }
    sleep(LAST_WAIT);
    let is_changed = change_configuration(&cores, (1, 2), Duration::from_secs(10));
    record.note(&format!(
        "operator: version 2 is acknowledged: {is_changed}"
    ));
    let reading = Instant::now();
    for (host, core) in cores.iter().cycle() {
        let address = core.address(mesh::CONTROL_PORT);
        let answer = mesh::call_for(address, "GET", "/v1/config", "", "", CALL_WAIT);
        let status = answer.map_or(0, |answer| answer.status());
        if status == 200 {
            record.note(&format!("operator: machine {host} answers a read"));
            return Ok(None);
        }
        if reading.elapsed() > READING_FOR {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    let running = cores
        .iter_mut()
        .filter_map(|(_, core)| (!core.has_ended()).then_some(()))
        .count();
    record.note(&format!("platform: {running} core machines run"));
    Ok(Some(
        "CONFIG: read back, the configuration doesn't come; version 1 was acknowledged".to_owned(),
    ))
}
