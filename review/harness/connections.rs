//! Cases of clients that keep their connections open: they leave early, or read slowly.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::mesh::{Message, OUTBOUND_PORT, Reaction, Record, encode_request, read_message};
use crate::{Deployment, SLOTS, Verdict, routes};

const SHORT_WORK: Duration = Duration::from_millis(20);

/// Opens a connection to the client's node.
fn connect(deployment: &Deployment) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(deployment.client.address(OUTBOUND_PORT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Clients send three idempotent PUTs on one connection, one behind the other. Some of them leave early.
pub fn left_client(record: &Record, has_trouble: bool) -> Verdict {
    const CLIENTS: usize = 40;
    /// Three in ten, the largest share of `give_up` in the site file.
    const LEAVING: usize = 12;
    const PIPELINED: usize = 3;
    const WORK: Duration = Duration::from_secs(2);
    const STAYS_FOR: Duration = Duration::from_millis(500);
    const DEADLINE: Duration = Duration::from_secs(10);
    /// Requests that reach an endpoint or are worked on later than this after the close are counted.
    const ALLOWED: Duration = Duration::from_millis(500);
    /// More than a few.
    const FEW: usize = 3;
    let react = |request: &Message, _| Reaction {
        work: if request.first_line.starts_with("PUT /look/job") {
            WORK
        } else {
            SHORT_WORK
        },
        ..Reaction::default()
    };
    let deployment = Deployment::start(record, (2, SLOTS), &routes("5s", "2s"), false, react)?;
    let deployment = &deployment;
    let run_client = |number: usize| -> io::Result<Option<Instant>> {
        let mut stream = connect(deployment)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let requests: Vec<u8> = (1..=PIPELINED)
            .flat_map(|place| {
                let id = format!("job-{number}-{place}");
                encode_request("PUT", "/look/job", &id, DEADLINE, b"{}")
            })
            .collect();
        stream.write_all(&requests)?;
        if has_trouble && number <= LEAVING {
            sleep(STAYS_FOR);
            drop(stream);
            record.note(&format!("client {number}: leaves"));
            return Ok(Some(Instant::now()));
        }
        for place in 1..=PIPELINED {
            let answer = read_message(&mut stream)?;
            let status = answer.status();
            record.note(&format!(
                "client: job-{number}-{place} is answered {status}"
            ));
        }
        Ok(None)
    };
    let run_client = &run_client;
    let left: Vec<Option<Instant>> = thread::scope(|scope| {
        let clients = (1..=CLIENTS).map(|number| scope.spawn(move || run_client(number)));
        let clients: Vec<_> = clients.collect();
        let joined = clients.into_iter().map(|client| client.join().unwrap());
        joined.collect::<io::Result<_>>()
    })?;
    // The last requests of the clients that left have ended by then.
    sleep(WORK * PIPELINED as u32);
    let mut late = 0;
    let mut at_work = 0;
    let mut lasting = 0;
    for endpoint in &deployment.endpoints {
        let ends = endpoint.ends.lock().unwrap();
        for (id, began) in endpoint.runs.lock().unwrap().iter() {
            let number = id.split('-').nth(1).and_then(|text| text.parse().ok());
            let number = number.filter(|_| id.starts_with("job-"));
            let Some(closed) = number.and_then(|number: usize| left[number - 1]) else {
                continue;
            };
            let limit = closed + ALLOWED;
            late += usize::from(*began > limit);
            let Some((_, ended)) = ends.iter().find(|(ended, _)| ended == id) else {
                continue;
            };
            lasting += usize::from(*began + WORK > limit);
            at_work += usize::from(*ended > limit);
        }
    }
    record.note(&format!(
        "requests of clients that had left: {late} reached an endpoint later than 0.5 s after the close; \
         at {at_work} of {lasting} that would have lasted so long an endpoint was still at work"
    ));
    Ok((late > FEW || at_work * 4 > lasting).then(|| {
        format!(
            "GONE: {late} requests reached an endpoint later than 0.5 s after their client had left"
        )
    }))
}

/// Clients on kept connections fetch a large answer, with a small request behind it, and read slowly.
pub fn slow_reader(record: &Record, has_trouble: bool) -> Verdict {
    const CLIENTS: usize = 5;
    const LARGE_BYTES: usize = 8 * 1024 * 1024;
    const CHUNK_BYTES: usize = 16 * 1024;
    /// Pause after each chunk, which gives 160 kB/s.
    const PAUSE: Duration = Duration::from_millis(100);
    const DEADLINE: Duration = Duration::from_secs(80);
    /// The rule is broken by more than three.
    const ALLOWED: usize = 3;
    let react = |request: &Message, _| Reaction {
        work: SHORT_WORK,
        answer_bytes: if request.first_line.starts_with("GET /scan/") {
            LARGE_BYTES
        } else {
            0
        },
        ..Reaction::default()
    };
    let scan = r#""r-scan":{"host":"shop.example","prefix":"/scan/","kind":"idempotent","timeout":"80s","goal":"80s","priority":2,"service":"orders","attempts":2}"#;
    let routes = format!("{},{scan}", routes("5s", "2s"));
    let deployment = Deployment::start(record, (2, SLOTS), &routes, false, react)?;
    let deployment = &deployment;
    let run_client = |number: usize| -> io::Result<bool> {
        let mut stream = connect(deployment)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let first = format!("first-{number}");
        stream.write_all(&encode_request("GET", "/look/1", &first, DEADLINE, b""))?;
        let status = read_message(&mut stream)?.status();
        record.note(&format!("client: {first} is answered {status}"));
        let (scan, behind) = (format!("scan-{number}"), format!("behind-{number}"));
        let started = Instant::now();
        let both = [
            encode_request("GET", "/scan/1", &scan, DEADLINE, b""),
            encode_request("GET", "/look/2", &behind, DEADLINE, b""),
        ];
        stream.write_all(&both.concat())?;
        let mut bytes = vec![0; CHUNK_BYTES];
        let mut total = 0;
        let marker = format!("Request-Id: {behind}").to_ascii_lowercase();
        let mut tail = Vec::new();
        let is_answered = loop {
            let count = match stream.read(&mut bytes) {
                Ok(0) => break false,
                Ok(count) => count,
                Err(error) => {
                    record.note(&format!("client {number}: {error}"));
                    break false;
                }
            };
            total += count;
            tail.extend_from_slice(&bytes[..count]);
            let text = String::from_utf8_lossy(&tail).to_ascii_lowercase();
            if text.contains(&marker) {
                break true;
            }
            let kept = tail.len().saturating_sub(1_024);
            tail.drain(..kept);
            if has_trouble {
                sleep(PAUSE);
            }
        };
        let elapsed = started.elapsed().as_secs_f64();
        record.note(&format!(
            "client {number}: read {total} bytes in {elapsed:.1} s; {behind} is answered: {is_answered}"
        ));
        let _ = stream.shutdown(Shutdown::Both);
        Ok(is_answered)
    };
    let run_client = &run_client;
    let answered: Vec<bool> = thread::scope(|scope| {
        let clients = (1..=CLIENTS).map(|number| scope.spawn(move || run_client(number)));
        let clients: Vec<_> = clients.collect();
        let joined = clients.into_iter().map(|client| client.join().unwrap());
        joined.collect::<io::Result<_>>()
    })?;
    let lost: Vec<String> = (1..=CLIENTS)
        .filter(|number| !answered[number - 1])
        .map(|number| format!("behind-{number}"))
        .filter(|id| deployment.run_count(id) > 0)
        .collect();
    Ok((lost.len() > ALLOWED).then(|| {
        format!(
            "LOST: {} were passed on to an endpoint, and their connections were closed without an answer",
            lost.join(", ")
        )
    }))
}
