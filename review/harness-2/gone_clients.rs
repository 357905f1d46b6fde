//! Case: clients send three idempotent PUT requests on one connection, and leave before their deadline.

#[path = "mesh.rs"]
mod mesh;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;

use mesh::{
    Place, Process, Record, call, document, has_trouble, header, ms, put_config, read_answer,
    read_head, unable, unix_ms, wait_ready,
};

const CORES: [u8; 3] = [1, 2, 3];
const SIDECARS: [u8; 2] = [101, 102];
const CLIENTS: usize = 60;
/// One client in so many leaves, `share` = 0.2 of `give_up` in the site files.
const LEAVES_EVERY: usize = 5;
/// Time that the first request of a client takes at its endpoint.
const LONG_MS: u64 = 3_000;
/// Time after which a client leaves.
const LEAVE_MS: u64 = 500;
const DEADLINE_MS: u32 = 6_000;
/// Bound of the rule GONE on the time after the close, in ms.
const GONE_MS: u64 = 500;
/// "more than a few"
const FEW: usize = 5;

#[derive(Clone, Default)]
struct Log {
    /// Id and arrival in ms.
    arrivals: Arc<Mutex<Vec<(String, u64)>>>,
    /// Connection of a client and time of its close in ms.
    closes: Arc<Mutex<Vec<(String, u64)>>>,
}

fn endpoint(place: &Place, host: u8, record: &Record, log: &Log) {
    let listener = TcpListener::bind(place.address(host, place.app))
        .unwrap_or_else(|error| unable(&format!("an endpoint can't listen: {error}")));
    let id = format!("i-{host:08x}");
    let (serving, record, log) = (id.clone(), record.clone(), log.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record, log) = (serving.clone(), record.clone(), log.clone());
            std::thread::spawn(move || serve(stream, host, &id, &record, &log));
        }
    });
    let (control, app) = (place.address(host, place.control), place.address(host, place.app));
    let born = unix_ms();
    std::thread::spawn(move || {
        for sequence in 1.. {
            let body = format!(
                r#"{{"address":"{app}","born":{born},"info":{{"service":"orders","version":"v1","zone":"z1","slots":36}},"status":{{"state":"ready","sequence":{sequence},"cold_left":"0ms"}}}}"#
            );
            let head = format!("PUT /v1/instances/{id} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json");
            let _ = call(control, &head, body.as_bytes(), ms(1_000));
            sleep(ms(1_500));
        }
    });
}

fn serve(mut stream: TcpStream, host: u8, id: &str, record: &Record, log: &Log) {
    let _ = stream.set_nodelay(true);
    while let Ok(head) = read_head(&mut stream) {
        let request = header(&head, "request-id");
        let answer = if head.starts_with("GET /healthz ") {
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else {
            let line = head.lines().next().unwrap_or_default().to_owned();
            record.line(&format!("endpoint {host}: runs {request} ({line})"));
            log.arrivals.lock().unwrap().push((request.clone(), record.at().as_millis() as u64));
            sleep(ms(if head.contains("/reads/long") { LONG_MS } else { 10 }));
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: {request}\r\nContent-Length: 2\r\n\r\nok")
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn message(method: &str, path: &str, id: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n")
}

fn client(place: &Place, number: usize, leaves: bool, record: &Record, log: &Log) {
    let host = SIDECARS[number % SIDECARS.len()];
    let Ok(mut stream) = TcpStream::connect(place.address(host, place.outbound)) else {
        unable("a client can't connect");
    };
    let _ = stream.set_read_timeout(Some(ms(8_000)));
    let text = [
        message("PUT", "/reads/long", &format!("c{number:04}-1")),
        message("PUT", "/reads/long", &format!("c{number:04}-2")), message("PUT", "/reads/x", &format!("c{number:04}-3")),
    ];
    if stream.write_all(text.concat().as_bytes()).is_err() {
        unable("the requests couldn't be sent");
    }
    record.line(&format!("client {number}: sends c{number:04}-1, -2 and -3 to sidecar {host}"));
    if leaves {
        sleep(ms(LEAVE_MS));
        drop(stream);
        log.closes.lock().unwrap().push((format!("c{number:04}"), record.at().as_millis() as u64));
        record.line(&format!("client {number}: closes its connection"));
        return;
    }
    for index in 1..=3 {
        let status = read_answer(&mut stream).map_or(0, |answer| answer.status);
        record.line(&format!("client {number}: c{number:04}-{index} answered {status}"));
    }
}

fn main() {
    mesh::limit_time();
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let leaves = has_trouble();
    record.line(&format!("case: gone clients, trouble={leaves}"));
    let place = Arc::new(Place::new());
    let seeds = place.seeds(&[1, 2, 3]);
    let mut processes: Vec<Process> =
        CORES.iter().map(|host| Process::core(&place, *host, &seeds)).collect();
    processes.extend(SIDECARS.iter().map(|host| Process::sidecar(&place, *host, &seeds)));
    processes.iter_mut().for_each(Process::start);
    let log = Log::default();
    SIDECARS.iter().for_each(|host| endpoint(&place, *host, &record, &log));
    if put_config(&place, &CORES, 0, &document(1, DEADLINE_MS), ms(15_000), &record) != Some(200) {
        unable("the configuration wasn't accepted");
    }
    if !SIDECARS.iter().all(|host| wait_ready(&place, *host, ms(10_000))) {
        unable("the sidecars aren't ready");
    }
    // Longer than `contact` without any disruption: all machines are in touch.
    sleep(ms(5_000));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (place, record, log) = (Arc::clone(&place), record.clone(), log.clone());
            std::thread::spawn(move || client(&place, number, leaves && number % LEAVES_EVERY == 0, &record, &log))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep(ms(LONG_MS + 3_000));
    let closes = log.closes.lock().unwrap().clone();
    let arrivals = log.arrivals.lock().unwrap().clone();
    let mut late = 0;
    for (id, at) in &arrivals {
        let closed = closes.iter().find(|(client, _)| id.starts_with(client.as_str()));
        if let Some((_, closed_at)) = closed.filter(|(_, closed_at)| *at > closed_at + GONE_MS) {
            late += 1;
            record.line(&format!("check: {id} reached an endpoint {} ms after its client had closed", at - closed_at));
        }
    }
    let second = arrivals.iter().filter(|(id, _)| id.ends_with("-2")).count();
    record.line(&format!("end: {} arrivals, {second} of second requests, {late} later than {GONE_MS} ms after the close", arrivals.len()));
    drop(processes);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&place.folder);
    }
    // RULES.md, GONE: more than a few requests reach an endpoint over half a second later.
    std::process::exit(i32::from(late > FEW));
}
