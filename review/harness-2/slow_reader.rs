//! Case: clients read a long answer slowly but steadily, with further idempotent requests sent behind it.

#[path = "mesh.rs"]
mod mesh;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

use mesh::{
    Place, Process, Record, header, has_trouble, ms, put_config, read_answer, read_head, unable,
    unix_ms, wait_ready,
};

const CORES: [u8; 3] = [1, 2, 3];
const SIDECARS: [u8; 2] = [101, 102];
const CLIENTS: usize = 2;
/// Requests that a client sends behind the one with the long answer.
const FURTHER: usize = 4;
/// Length of the long answer, a scan of 8 MB.
const LONG_BYTES: usize = 8 * 1024 * 1024;
/// Bytes that a slow client reads each tenth of a second.
const SLOW_STEP: usize = 20 * 1024;
/// Time for which the clients wait, and timeout of the route.
const DEADLINE_MS: u64 = 60_000;

/// Result of one request for its client.
#[derive(Clone, Copy, PartialEq, Debug)]
enum End {
    Whole,
    None,
    Partial,
}

fn endpoint(place: &Place, host: u8, record: &Record, runs: &Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(place.address(host, place.app))
        .unwrap_or_else(|error| unable(&format!("an endpoint can't listen: {error}")));
    let id = format!("i-{host:08x}");
    let (serving, record, runs) = (id.clone(), record.clone(), Arc::clone(runs));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record, runs) = (serving.clone(), record.clone(), Arc::clone(&runs));
            std::thread::spawn(move || serve(stream, host, &id, &record, &runs));
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
            let _ = mesh::call(control, &head, body.as_bytes(), ms(1_000));
            sleep(ms(1_500));
        }
    });
}

fn serve(mut stream: TcpStream, host: u8, id: &str, record: &Record, runs: &Mutex<Vec<String>>) {
    let _ = stream.set_nodelay(true);
    while let Ok(head) = read_head(&mut stream) {
        let request = header(&head, "request-id");
        if head.starts_with("GET /healthz ") {
            let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.line(&format!("endpoint {host}: runs {request}"));
        runs.lock().unwrap().push(request.clone());
        let length = if head.starts_with("GET /reads/scan") { LONG_BYTES } else { 100 };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: {request}\r\nContent-Length: {length}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() || stream.write_all(&vec![b'x'; length]).is_err() {
            return;
        }
    }
}

fn message(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n")
}

/// Reads an answer at the pace of the client; a slow one takes a step each tenth of a second.
fn read_at_pace(stream: &mut TcpStream, is_slow: bool, until: Instant) -> End {
    let Ok(head) = read_head(stream) else {
        return End::None;
    };
    let mut left: usize = header(&head, "content-length").parse().unwrap_or(0);
    let mut part = vec![0; SLOW_STEP];
    while left > 0 {
        if Instant::now() > until {
            return End::Partial;
        }
        let most = left.min(SLOW_STEP);
        match stream.read(&mut part[..most]) {
            Ok(0) | Err(_) => return End::Partial,
            Ok(count) => left -= count,
        }
        if is_slow {
            sleep(ms(100));
        }
    }
    End::Whole
}

fn client(place: &Place, number: usize, is_slow: bool, record: &Record) -> Vec<(String, End)> {
    let host = SIDECARS[number % SIDECARS.len()];
    let id = |index: usize| format!("c{number:07}-{index:07}");
    let mut ends = Vec::new();
    let Ok(mut stream) = TcpStream::connect(place.address(host, place.outbound)) else {
        unable("a client can't connect");
    };
    let _ = stream.set_read_timeout(Some(ms(DEADLINE_MS)));
    let first = stream.write_all(message("/reads/x", &id(0)).as_bytes()).and_then(|()| read_answer(&mut stream));
    if !first.is_ok_and(|answer| answer.status == 200) {
        unable("the first request of a connection wasn't served");
    }
    let mut text = message("/reads/scan", &id(1));
    for index in 2..2 + FURTHER {
        text.push_str(&message("/reads/x", &id(index)));
    }
    let sent_at = Instant::now();
    if stream.write_all(text.as_bytes()).is_err() {
        unable("the requests couldn't be sent");
    }
    record.line(&format!("client {number}: sends {} to {} on a kept connection of sidecar {host}", id(1), id(1 + FURTHER)));
    for index in 1..2 + FURTHER {
        let end = read_at_pace(&mut stream, is_slow, sent_at + ms(DEADLINE_MS));
        record.line(&format!("client {number}: {} ends after {} ms: {end:?}", id(index), sent_at.elapsed().as_millis()));
        ends.push((id(index), end));
        if end != End::Whole {
            for later in index + 1..2 + FURTHER {
                record.line(&format!("client {number}: {} has no answer, the connection is closed", id(later)));
                ends.push((id(later), End::None));
            }
            break;
        }
    }
    ends
}

fn main() {
    mesh::limit_time();
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let is_slow = has_trouble();
    record.line(&format!("case: slow readers, trouble={is_slow}"));
    let place = Place::new();
    let seeds = place.seeds(&[1, 2, 3]);
    let mut processes: Vec<Process> =
        CORES.iter().map(|host| Process::core(&place, *host, &seeds)).collect();
    processes.extend(SIDECARS.iter().map(|host| Process::sidecar(&place, *host, &seeds)));
    processes.iter_mut().for_each(Process::start);
    let runs = Arc::<Mutex<Vec<String>>>::default();
    SIDECARS.iter().for_each(|host| endpoint(&place, *host, &record, &runs));
    let text = mesh::document(1, DEADLINE_MS as u32);
    if put_config(&place, &CORES, 0, &text, ms(15_000), &record) != Some(200) {
        unable("the configuration wasn't accepted");
    }
    if !SIDECARS.iter().all(|host| wait_ready(&place, *host, ms(10_000))) {
        unable("the sidecars aren't ready");
    }
    // Longer than `contact` without any disruption: all machines are in touch.
    sleep(ms(5_000));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            let place = Place { folder: place.folder.clone(), ..place };
            std::thread::spawn(move || client(&place, number, is_slow, &record))
        })
        .collect();
    let ends: Vec<(String, End)> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    let runs = runs.lock().unwrap().clone();
    let lost = ends.iter().filter(|(id, end)| *end == End::None && runs.contains(id)).count();
    let partial = ends.iter().filter(|(_, end)| *end == End::Partial).count();
    record.line(&format!("end: {} requests, {partial} answers cut off, {lost} passed on and closed without an answer", ends.len()));
    drop(processes);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&place.folder);
    }
    // RULES.md, LOST: passed on from a kept connection, closed without an answer, more than three times.
    std::process::exit(i32::from(lost > 3));
}
