//! Case: a core process is killed while the whole system starts for the first time, and is started again by the platform.

#[path = "mesh.rs"]
mod mesh;

use std::path::Path;
use std::thread::sleep;

use mesh::{
    Endpoint, Place, Process, Record, document, has_trouble, ms, put_config, request, wait_ready,
};

const CORES: [u8; 5] = [1, 2, 3, 4, 5];
const SIDECARS: [u8; 3] = [101, 102, 103];
/// All machines start within 0.3 s (`DEPLOY.md`).
const START_STEP_MS: u64 = 60;
/// Order in which the core processes start; the seeds are 1, 2 and 3.
const START_ORDER: [usize; 5] = [0, 3, 4, 1, 2];
/// Age of the process when it is killed.
const KILL_AFTER_MS: u64 = 250;
/// Delay after which the platform starts a process again.
const RESTART_AFTER_MS: u64 = 500;
/// Delay after which an empty machine replaces one that is gone for good, `x` of `replace_core`.
const REPLACE_AFTER_MS: u64 = 2_000;
/// Time for which the operator sends the first configuration again.
const OPERATOR_MS: u64 = 45_000;

fn main() {
    mesh::limit_time();
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let trouble = has_trouble();
    record.line(&format!("case: first start, trouble={trouble}"));
    // Variant by hand: a seed is gone for good, and an empty machine at another address takes its place (`replace_core`).
    let is_gone = std::env::var("VARIANT").is_ok_and(|value| value == "gone");
    let place = Place::new();
    let seeds = place.seeds(&[1, 2, 3]);
    let mut cores: Vec<Process> =
        CORES.iter().map(|host| Process::core(&place, *host, &seeds)).collect();
    let mut sidecars: Vec<Process> =
        SIDECARS.iter().map(|host| Process::sidecar(&place, *host, &seeds)).collect();
    for (position, index) in START_ORDER.into_iter().enumerate() {
        if position > 0 {
            sleep(ms(START_STEP_MS));
        }
        cores[index].start();
        record.line(&format!("platform: core {} starts, bootstrap=true", cores[index].host));
    }
    for sidecar in &mut sidecars {
        sidecar.start();
    }
    let endpoints: Vec<Endpoint> =
        SIDECARS.iter().map(|host| Endpoint::start(&place, *host, &record)).collect();
    if trouble {
        let age = START_STEP_MS * (CORES.len() as u64 - 1);
        sleep(ms(KILL_AFTER_MS.saturating_sub(age)));
        let lost = if is_gone { 2 } else { 0 };
        cores[lost].kill();
        record.line(&format!("platform: core {} is killed (SIGKILL)", cores[lost].host));
        sleep(ms(if is_gone { REPLACE_AFTER_MS } else { RESTART_AFTER_MS }));
    } else {
        sleep(ms(RESTART_AFTER_MS));
    }
    // The whole system has been started once; later starts of a process find this in the settings.
    for process in cores.iter().chain(&sidecars) {
        process.end_bootstrap();
    }
    if trouble && is_gone {
        cores[2] = Process::core(&place, 6, &place.seeds(&[1, 2, 4]));
        cores[2].end_bootstrap();
        cores[2].start();
        record.line("platform: core 3 is gone for good, the empty core 6 starts, bootstrap=false");
    } else if trouble {
        cores[0].start();
        record.line("platform: core 1 starts again with its disk, bootstrap=false");
    }
    let text = document(1, 2_000);
    let accepted = put_config(&place, &CORES, 0, &text, ms(OPERATOR_MS), &record);
    record.line(&format!("operator: first configuration: {accepted:?}"));
    let mut served = 0;
    let ready = SIDECARS.iter().filter(|host| wait_ready(&place, **host, ms(5_000))).count();
    record.line(&format!("platform: {ready} of {} sidecars are ready", SIDECARS.len()));
    for number in 0..30 {
        let host = SIDECARS[number % SIDECARS.len()];
        let id = format!("{number:016x}");
        let answer = request(&place, host, "GET", "/reads/x", &id, 2_000);
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("client: GET {id} at sidecar {host}: {status}"));
        served += usize::from(status == 200);
        sleep(ms(100));
    }
    let running = cores.iter_mut().filter_map(|core| (!core.has_ended()).then_some(())).count();
    let runs: usize = endpoints.iter().map(|it| it.runs.lock().unwrap().len()).sum();
    record.line(&format!("end: {running} of 5 core processes run, {served} of 30 served, {runs} runs"));
    drop((cores, sidecars));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&place.folder);
    }
    // RULES.md, Faults: "if no request is served".
    std::process::exit(i32::from(served == 0));
}
