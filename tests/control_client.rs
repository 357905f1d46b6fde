//! Calls of a node to control replicas that answer late or not at all.

use std::net::SocketAddr;
use std::time::Duration;

use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::ControlClient;
use ebonyjunction::generated::registry_server::{Registry, RegistryServer};
use ebonyjunction::generated::{
    ClaimReply, ClaimRequest, HeartbeatReply, HeartbeatRequest, SettleReply, SettleRequest,
};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// Replica that answers each heartbeat after a delay, either with an answer or with an error.
#[derive(Debug, Clone, Copy)]
struct SlowReplica {
    delay: Duration,
    is_sound: bool,
}

impl SlowReplica {
    async fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tonic::transport::Server::builder().add_service(RegistryServer::new(self));
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        address
    }
}

#[tonic::async_trait]
impl Registry for SlowReplica {
    async fn heartbeat(
        &self,
        _: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        tokio::time::sleep(self.delay).await;
        if self.is_sound {
            Ok(Response::new(HeartbeatReply::default()))
        } else {
            Err(Status::unavailable("the leader gave no answer"))
        }
    }

    async fn claim(&self, _: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        Err(Status::unimplemented("claim"))
    }

    async fn settle(&self, _: Request<SettleRequest>) -> Result<Response<SettleReply>, Status> {
        Err(Status::unimplemented("settle"))
    }
}

// Guards against a sound replica being given up because the one before it has used up the time: its answer may be held back
// for 600 ms, and a node between several such pairs gets no routes.
#[tokio::test]
async fn heartbeat_after_late_failure() {
    let failing = SlowReplica {
        delay: Duration::from_millis(700),
        is_sound: false,
    };
    let holding = SlowReplica {
        delay: Duration::from_millis(600),
        is_sound: true,
    };
    let addresses = vec![failing.start().await, holding.start().await];
    let token = MeshToken::try_from("0123456789abcdef").unwrap();
    // Several clients, because each begins with a random replica.
    for _ in 0..6 {
        let client = ControlClient::new(addresses.clone(), token.clone());
        let reply = client.heartbeat(HeartbeatRequest::default()).await;
        assert_eq!(reply.unwrap().address, addresses[1]);
    }
}
