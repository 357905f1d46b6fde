//! Random edits, restarts and failures under client load, checked against the requirements.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::answers::{random_answer_call, short_timeout_call};
use super::edits::EditedMesh;
use super::fixture::{executions, wait_idle};
use super::load::{ClientCall, ClientLoad, check_keys, check_not_run, tally};

const SEED: u64 = 20_261_204;
const STEPS: usize = 40;
const STEP_PAUSE: Duration = Duration::from_millis(200);
/// No further steps start after this time, so that a slow machine shortens the test instead of failing it.
const STEPS_BOUND: Duration = Duration::from_secs(20);
const SENDERS: u64 = 6;
const ENDPOINTS: usize = 3;
/// Idempotency keys that clients use at the same time.
const KEYS: usize = 6;

type KeyPool = Arc<Mutex<Vec<String>>>;

fn add_key(pool: &KeyPool) {
    let mut keys = pool.lock().unwrap();
    if keys.len() == KEYS {
        keys.remove(0);
    }
    keys.push(uuid::Uuid::now_v7().to_string());
}

fn mixed_call(entries: &[SocketAddr], pool: &KeyPool, rng: &mut SmallRng) -> ClientCall {
    match rng.random_range(0..3) {
        0 => random_answer_call(entries, rng),
        1 => short_timeout_call(entries, rng),
        _ => {
            let keys = pool.lock().unwrap().clone();
            let entry = entries[rng.random_range(0..entries.len())];
            let key = &keys[rng.random_range(0..keys.len())];
            let mut call = ClientCall::payment(entry, key, rng);
            call.timeout_ms = rng.random_range(50..2_000);
            call
        }
    }
}

/// Kills a replica, or starts the one that is down, so that a quorum always remains.
fn change_replicas(mesh: &mut EditedMesh, down: &mut Option<usize>, rng: &mut SmallRng) {
    let control = &mut mesh.fleet.control;
    if let Some(position) = down.take() {
        control.start_replica(position);
        return;
    }
    let position = rng.random_range(0..3);
    control.kill_replica(position);
    *down = Some(position);
}

async fn take_step(mesh: &mut EditedMesh, down: &mut Option<usize>, rng: &mut SmallRng) -> String {
    let position = rng.random_range(0..ENDPOINTS);
    let step = rng.random_range(0..7);
    match step {
        0 => mesh.fleet.restart_node(position),
        1 => mesh.fleet.restart_target(position),
        2 => {
            let target = &mesh.fleet.endpoints[position].target;
            target.signal("-STOP");
            tokio::time::sleep(STEP_PAUSE).await;
            target.signal("-CONT");
        }
        3 => change_replicas(mesh, down, rng),
        4 => {
            // The target leaves gracefully and is replaced by another one.
            let code = mesh.fleet.endpoints[position].target.stop();
            assert_eq!(code, Some(0));
            mesh.fleet.restart_target(position);
        }
        _ => mesh.edit().await,
    }
    format!("{step}:{position}")
}

// Guards against combinations of failures that break a requirement although each failure alone does not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_steps_hold_requirements() {
    let mut mesh = EditedMesh::start();
    let entries: Vec<SocketAddr> = mesh.fleet.endpoints.iter().map(|it| it.entry).collect();
    let pool = KeyPool::default();
    add_key(&pool);
    let load = ClientLoad::start(SENDERS, SEED, {
        let pool = Arc::clone(&pool);
        move |rng| mixed_call(&entries, &pool, rng)
    });
    let mut rng = SmallRng::seed_from_u64(SEED);
    let (mut down, mut steps, start) = (None, Vec::new(), Instant::now());
    while steps.len() < STEPS && start.elapsed() < STEPS_BOUND {
        add_key(&pool);
        steps.push(take_step(&mut mesh, &mut down, &mut rng).await);
        tokio::time::sleep(STEP_PAUSE).await;
    }
    if down.is_some() {
        change_replicas(&mut mesh, &mut down, &mut rng);
    }
    load.wait_more("200 ran", 10).await;
    let sent = load.finish().await;
    wait_idle(&mesh.fleet).await;
    let executions = executions(&mesh.fleet);
    eprintln!(
        "seed {SEED}, steps {steps:?}, {} executions: {:?}",
        executions.len(),
        tally(&sent)
    );
    for call in &sent {
        call.check_own_answer();
    }
    check_not_run(&sent, &executions);
    check_keys(&sent, &executions, ENDPOINTS);
    mesh.edit().await;
    mesh.check_in_force("last edit").await;
    mesh.finish().await;
}
