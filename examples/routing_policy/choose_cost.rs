//! Measures the time of one target choice and the memory per target in the table.

use std::time::{Duration, Instant};

use ebonyjunction::routing::{
    DirectoryUpdate, LoadReport, RouteDecision, RouteRequest, RoutingSettings, SendResult,
    TargetRecord, TargetState, TargetTable,
};
use ebonyjunction::types::{NodeId, RequestPriority, ServiceName, TickTime};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const CHOICES: u32 = 200_000;
const SERVICES: usize = 44;
const MEMORY_TARGETS: usize = 58_000;
const PAGE_BYTES: usize = 4_096;

fn parse_name<T: for<'a> TryFrom<&'a str>>(raw: &str) -> T {
    let Ok(name) = T::try_from(raw) else {
        unreachable!("{raw} is a valid name");
    };
    name
}

fn record(index: usize, services: usize) -> TargetRecord {
    let mut bytes = [0_u8; 16];
    bytes[..8].copy_from_slice(&index.to_be_bytes());
    let Ok(node_id) = NodeId::try_from(bytes.as_slice()) else {
        unreachable!("an identifier has 16 bytes");
    };
    TargetRecord {
        node_id,
        service: parse_name(&format!("service-{}", index % services)),
        address: ([127, 0, 0, 1], 9_000 + (index % 50_000) as u16).into(),
        zone: parse_name(["east-1", "east-2", "west-1"][index / services % 3]),
        region: parse_name(["east", "east", "west"][index / services % 3]),
        slots: 35,
        connections: 300,
        state: TargetState::Ready,
    }
}

fn new_table(targets: usize, services: usize) -> TargetTable {
    let settings = RoutingSettings::default();
    let mut table = TargetTable::new(settings, parse_name("east-1"), parse_name("east"));
    let update = DirectoryUpdate {
        full: true,
        changed: (0..targets).map(|index| record(index, services)).collect(),
        removed: Vec::new(),
    };
    table.apply_update(TickTime::default(), update);
    table
}

/// Runs rounds of choose, start and record. Returns the nanoseconds per round of the choice alone and of all three.
fn time_choices(targets: usize, services: usize) -> (f64, f64) {
    let mut table = new_table(targets, services);
    let names = (0..services).map(|index| parse_name(&format!("service-{index}")));
    let names = names.collect::<Vec<ServiceName>>();
    let mut rng = SmallRng::seed_from_u64(20_261_204);
    let report = LoadReport {
        is_nested: false,
        level: Some(RequestPriority::from_raw(50)),
        queue_wait: Some(Duration::ZERO),
        leaving: false,
    };
    let mut choose_time = Duration::ZERO;
    let start = Instant::now();
    for round in 0..CHOICES {
        let now = TickTime::from_start(Duration::from_micros(u64::from(round) * 2_700));
        let request = RouteRequest {
            service: &names[round as usize % services],
            endpoint: "/list",
            priority: RequestPriority::from_raw(100),
            acceptable_completion_time: std::time::Duration::ZERO,
            is_nested: false,
            body_bytes: 0,
            excluded: &[],
        };
        let before = Instant::now();
        let decision = table.choose(now, &request, &mut rng);
        choose_time += before.elapsed();
        if let RouteDecision::Send(choice) = decision {
            let latency = Duration::from_millis(10);
            table.start(choice.key);
            table.record(
                now,
                choice.key,
                "/list",
                latency,
                SendResult::Answered,
                &report,
            );
        }
    }
    let rounds = f64::from(CHOICES);
    let all = start.elapsed().as_nanos() as f64 / rounds;
    (choose_time.as_nanos() as f64 / rounds, all)
}

/// Measures with the targets spread over 44 services, and with all targets in one service.
pub(crate) fn measure_time() {
    for targets in [60, 200, 580] {
        for services in [SERVICES, 1] {
            let (choose_ns, all_ns) = time_choices(targets, services);
            let prefix = format!("choose.targets_{targets}.services_{services}");
            println!("{prefix}.choose_ns={choose_ns:.0}");
            println!("{prefix}.choose_start_record_ns={all_ns:.0}");
        }
    }
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Measures how much resident memory grows for a table far larger than the design size.
pub(crate) fn measure_memory() {
    let before = resident_bytes();
    let table = new_table(MEMORY_TARGETS, SERVICES * 100);
    let grown = resident_bytes().saturating_sub(before);
    println!("memory.bytes_per_target={}", grown / table.len());
}
