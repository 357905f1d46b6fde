//! Announces the stand-in to the node on the same VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use tokio::time::{sleep, timeout};

use crate::serving::StandIn;

const TARGET_PATH: &str = "/ebonyjunction/v1/target";
// The announcement is repeated because a restarted node does not know its target. Otherwise the repetition has no
// effect.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);
const RETRY_PERIOD: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the stand-in to its node repeatedly, until the task is aborted.
pub(crate) async fn announce_repeatedly(stand_in: Arc<StandIn>, address: SocketAddr) {
    let settings = &stand_in.settings;
    let body = serde_json::json!({
        "service": settings.service,
        "address": address,
        "slots": settings.slots,
        "connections": settings.connections,
    });
    let body = Bytes::from(body.to_string());
    let mut is_announced = false;
    loop {
        let is_accepted = call_node(&stand_in, Method::PUT, body.clone()).await;
        if is_accepted != is_announced {
            log::info!("event=announced accepted={is_accepted}");
        }
        is_announced = is_accepted;
        let pause = if is_accepted {
            ANNOUNCE_PERIOD
        } else {
            RETRY_PERIOD
        };
        sleep(pause).await;
    }
}

/// Withdraws the stand-in from its node.
pub(crate) async fn withdraw(stand_in: &StandIn) {
    let is_accepted = call_node(stand_in, Method::DELETE, Bytes::new()).await;
    log::info!("event=withdrawn accepted={is_accepted}");
}

async fn call_node(stand_in: &StandIn, method: Method, body: Bytes) -> bool {
    let uri = format!("http://{}{TARGET_PATH}", stand_in.settings.node);
    let request = Request::builder().method(method).uri(uri);
    let Ok(request) = request.body(Full::new(body)) else {
        return false;
    };
    let exchange = async {
        let response = stand_in.client.request(request).await.ok()?;
        let is_success = response.status().is_success();
        let _ = response.into_body().collect().await;
        Some(is_success)
    };
    matches!(timeout(CALL_TIMEOUT, exchange).await, Ok(Some(true)))
}
