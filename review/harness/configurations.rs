//! Cases of changes to the configuration.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::mesh::{
    APP_PORT, Endpoint, MAX_BODY_BYTES, Message, OUTBOUND_PORT, Place, Process, Reaction, Record,
    configuration, encode_request, exchange, read_message, wait_for,
};
use crate::{START_TIMEOUT, Verdict};

const CONFIG_APPLY: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(5);
const ACK: Duration = Duration::from_secs(4);
const FIRST_CLIENT: u8 = 101;
const FIRST_TARGET: u8 = 121;

fn route(name: &str, prefix: &str, kind: &str, target: &str) -> String {
    format!(
        r#""{name}":{{"host":"shop.example","prefix":"{prefix}","kind":"{kind}","timeout":"5s","goal":"2s","priority":1,{target},"attempts":2}}"#
    )
}

/// Nodes of clients, one endpoint for each of the services, and the core.
struct Fleet {
    clients: Vec<Process>,
    endpoints: Vec<Arc<Endpoint>>,
    _fronts: Vec<Arc<Endpoint>>,
    _nodes: Vec<Process>,
    _cores: Vec<Process>,
    place: Place,
}

impl Fleet {
    fn start(
        record: &Record,
        clients: u8,
        services: &[(&'static str, &'static str)],
        document: &str,
    ) -> io::Result<Self> {
        let until = Instant::now() + START_TIMEOUT;
        let place = Place::new(3)?;
        let react = |_: &Message, _| Reaction {
            work: Duration::from_millis(10),
            ..Reaction::default()
        };
        let cores = (1..=3)
            .map(|host| place.start_core(host))
            .collect::<io::Result<_>>()?;
        let mut fleet = Self {
            clients: Vec::new(),
            endpoints: Vec::new(),
            _fronts: Vec::new(),
            _nodes: Vec::new(),
            _cores: cores,
            place,
        };
        let place = &fleet.place;
        for host in FIRST_CLIENT..FIRST_CLIENT + clients {
            fleet
                .clients
                .push(place.start_sidecar(host, "front", None)?);
            let app = SocketAddr::new(place.ip(host), APP_PORT);
            fleet
                ._fronts
                .push(Endpoint::start("F", "front", 36, app, record, react)?);
        }
        for (host, (name, service)) in (FIRST_TARGET..).zip(services) {
            fleet._nodes.push(place.start_sidecar(host, service, None)?);
            let app = SocketAddr::new(place.ip(host), APP_PORT);
            fleet
                .endpoints
                .push(Endpoint::start(name, service, 36, app, record, react)?);
        }
        if !place.put_configuration(0, document, until) {
            return Err(io::Error::other(
                "no core machine acknowledged the configuration",
            ));
        }
        record.note("operator: version 1 is acknowledged");
        let nodes = fleet.clients.iter().chain(&fleet._nodes);
        let nodes: Vec<&Process> = nodes.collect();
        if !wait_for(until, || nodes.iter().all(|node| node.is_ready())) {
            return Err(io::Error::other("the nodes did not become ready"));
        }
        Ok(fleet)
    }

    fn outbound(&self, client: usize) -> SocketAddr {
        self.clients[client].address(OUTBOUND_PORT)
    }

    /// Sends reads on new connections until each client's node knows the endpoints of the route.
    fn warm_up(&self, path: &str) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for client in 0..self.clients.len() {
            let is_served = wait_for(until, || self.read(client, path, "warm").is_some());
            if !is_served {
                return Err(io::Error::other("a node does not serve"));
            }
        }
        Ok(())
    }

    fn read(&self, client: usize, path: &str, id: &str) -> Option<u16> {
        let request = encode_request("GET", path, id, DEADLINE, b"");
        let answer = exchange(self.outbound(client), &request, DEADLINE).ok()?;
        Some(answer.status()).filter(|status| *status == 200)
    }

    fn change(&self, record: &Record, document: &str) -> io::Result<()> {
        if !self
            .place
            .put_configuration(1, document, Instant::now() + ACK)
        {
            return Err(io::Error::other("the change was not acknowledged"));
        }
        record.note("operator: version 2 is acknowledged");
        Ok(())
    }
}

/// The operator raises the limit on request bodies. Clients that keep their connections open then send larger uploads.
pub fn raised_limit(record: &Record, has_trouble: bool) -> Verdict {
    const CLIENTS: usize = 20;
    const FIRST_LIMIT: usize = 1024 * 1024;
    const LIMIT: usize = 8 * 1024 * 1024;
    const SMALL_BYTES: usize = 50_000;
    const LARGE_BYTES: usize = 2 * 1024 * 1024;
    const SMALL_UPLOADS: usize = 5;
    let services = ["patterns", "front"];
    let routes = [
        route("r-upload", "/upload/", "upload", r#""service":"patterns""#),
        route("r-look", "/look/", "idempotent", r#""service":"patterns""#),
    ]
    .join(",");
    let first_limit = if has_trouble { FIRST_LIMIT } else { LIMIT };
    let first = configuration(1, &routes, &services, first_limit);
    let fleet = Fleet::start(record, 1, &[("E1", "patterns"), ("E2", "patterns")], &first)?;
    fleet.warm_up("/look/1")?;
    let send = |stream: &mut TcpStream, id: &str, length: usize| -> io::Result<u16> {
        let request = encode_request("POST", "/upload/1", id, DEADLINE, &vec![b'x'; length]);
        // A node may answer and close before it has read the whole request.
        let written = stream.write_all(&request);
        let answer = read_message(stream);
        let status = answer.as_ref().map_or(0, Message::status);
        record.note(&format!(
            "client: {id} ({length} bytes) is answered {status}"
        ));
        written
            .and(answer)
            .map(|answer| answer.status())
            .or(Ok(status))
    };
    let mut kept = Vec::new();
    for _ in 0..CLIENTS {
        let stream = TcpStream::connect(fleet.outbound(0))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        kept.push(stream);
    }
    let mut acknowledged = Instant::now();
    for round in 1..=SMALL_UPLOADS {
        for (number, stream) in kept.iter_mut().enumerate() {
            if send(stream, &format!("small-{number}-{round}"), SMALL_BYTES)? != 200 {
                return Err(io::Error::other("a small upload was not served"));
            }
        }
        if round == 1 {
            if has_trouble {
                fleet.change(record, &configuration(2, &routes, &services, LIMIT))?;
            }
            acknowledged = Instant::now();
        }
        sleep(Duration::from_secs(1));
    }
    let mut fresh = TcpStream::connect(fleet.outbound(0))?;
    fresh.set_read_timeout(Some(DEADLINE))?;
    record.note("a client on a new connection:");
    send(&mut fresh, "large-new", LARGE_BYTES)?;
    let is_due = acknowledged.elapsed() > CONFIG_APPLY;
    record.note("the clients on their kept connections:");
    let mut denied = 0;
    for (number, stream) in kept.iter_mut().enumerate() {
        let status = send(stream, &format!("large-{number}"), LARGE_BYTES)?;
        denied += usize::from(status == 413);
    }
    let elapsed = acknowledged.elapsed().as_secs_f64();
    record.note(&format!(
        "{denied} of {CLIENTS} uploads that version 2 allows are refused with 413, up to {elapsed:.1} s after its acknowledgement"
    ));
    // The bound of DENIED, which is above that of CONFIG: five and one in five hundred of all requests.
    let requests = CLIENTS * (SMALL_UPLOADS + 1);
    let is_broken = is_due && denied > 5 + requests / 500;
    Ok(is_broken.then(|| {
        format!("CONFIG, DENIED: {denied} requests were handled as only version 1 allows (413)")
    }))
}

/// The operator changes the weights of a split from 99 and 1 to 1 and 1.
pub fn changed_weights(record: &Record, has_trouble: bool) -> Verdict {
    const CLIENTS: u8 = 4;
    const FIRST_REQUESTS: usize = 45;
    const REQUESTS: usize = 55;
    const MAX_DIFFERENCE: f64 = 0.2;
    let services = ["stock-a", "stock-b", "front"];
    let routes = |weights: [u32; 2]| {
        let split = format!(
            r#""split":[{{"service":"stock-a","weight":{}}},{{"service":"stock-b","weight":{}}}]"#,
            weights[0], weights[1]
        );
        [
            route("r-split", "/stock/", "idempotent", &split),
            route("r-a", "/a/", "idempotent", r#""service":"stock-a""#),
            route("r-b", "/b/", "idempotent", r#""service":"stock-b""#),
        ]
        .join(",")
    };
    let first = routes(if has_trouble { [99, 1] } else { [1, 1] });
    let first = configuration(1, &first, &services, MAX_BODY_BYTES);
    let fleet = Fleet::start(
        record,
        CLIENTS,
        &[("A1", "stock-a"), ("B1", "stock-b")],
        &first,
    )?;
    fleet.warm_up("/a/1")?;
    fleet.warm_up("/b/1")?;
    let send = |prefix: &str, count: usize| -> io::Result<[usize; 2]> {
        for number in 0..count {
            for client in 0..fleet.clients.len() {
                let id = format!("{prefix}-{client}-{number}");
                if fleet.read(client, "/stock/1", &id).is_none() {
                    return Err(io::Error::other("a request was not served"));
                }
            }
        }
        let counts = fleet.endpoints.iter().map(|endpoint| {
            let runs = endpoint.runs.lock().unwrap();
            runs.iter().filter(|(id, _)| id.starts_with(prefix)).count()
        });
        let counts: Vec<usize> = counts.collect();
        record.note(&format!(
            "{prefix} requests: {} ran at stock-a, {} at stock-b",
            counts[0], counts[1]
        ));
        Ok([counts[0], counts[1]])
    };
    send("earlier", FIRST_REQUESTS)?;
    if has_trouble {
        fleet.change(
            record,
            &configuration(2, &routes([1, 1]), &services, MAX_BODY_BYTES),
        )?;
    }
    sleep(CONFIG_APPLY + Duration::from_secs(1));
    let counts = send("later", REQUESTS)?;
    let share = counts[1] as f64 / (counts[0] + counts[1]) as f64;
    Ok(((share - 0.5).abs() > MAX_DIFFERENCE).then(|| {
        format!(
            "CONFIG: stock-b, with half of the weight, got a share of {share:.2} of {} requests",
            counts[0] + counts[1]
        )
    }))
}

/// The operator sends two routes with one prefix whose hosts differ only in the case of a letter.
pub fn host_case(record: &Record, has_trouble: bool) -> Verdict {
    let services = ["stock-a", "stock-b", "front"];
    let plain = [
        route("r-a", "/a/", "idempotent", r#""service":"stock-a""#),
        route("r-b", "/b/", "idempotent", r#""service":"stock-b""#),
    ];
    let first = configuration(1, &plain.join(","), &services, MAX_BODY_BYTES);
    let targets = [("A1", "stock-a"), ("B1", "stock-b")];
    let fleet = Fleet::start(record, 1, &targets, &first)?;
    fleet.warm_up("/a/1")?;
    fleet.warm_up("/b/1")?;
    let reads = route("r-1", "/pay/", "idempotent", r#""service":"stock-a""#);
    let host = if has_trouble {
        "Shop.example"
    } else {
        "other.example"
    };
    let reads = reads.replace("shop.example", host);
    let orders = route("r-2", "/pay/", "non_idempotent", r#""service":"stock-b""#);
    let routes = [&plain[0], &plain[1], &reads, &orders];
    let routes: Vec<&str> = routes.iter().map(|route| route.as_str()).collect();
    let document = configuration(2, &routes.join(","), &services, MAX_BODY_BYTES);
    let until = Instant::now() + ACK;
    let is_acknowledged = fleet.place.put_configuration(1, &document, until);
    record.note(&format!(
        "operator: version 2, with /pay/ at {host} and at shop.example, is acknowledged: {is_acknowledged}"
    ));
    if !is_acknowledged {
        return Ok(None);
    }
    sleep(CONFIG_APPLY + Duration::from_secs(1));
    for number in 1..=5 {
        let request = encode_request("POST", "/pay/1", &format!("pay-{number}"), DEADLINE, b"{}");
        exchange(fleet.outbound(0), &request, DEADLINE)?;
    }
    let runs = fleet.endpoints[0].runs.lock().unwrap();
    let wrong = runs.iter().filter(|(id, _)| id.starts_with("pay-")).count();
    record.note(&format!(
        "{wrong} of 5 orders for shop.example ran at stock-a"
    ));
    // If the hosts are the same, the configuration is invalid. If they are not, no route leads the orders to stock-a.
    Ok((wrong > 0).then(|| {
        format!(
            "CONFIG: a configuration with two routes for one host and prefix was acknowledged \
             (or ROUTE: {wrong} orders ran at a service to which no route leads them)"
        )
    }))
}
