//! Calls of a node to control replicas that answer late or not at all.

use std::net::SocketAddr;
use std::time::Duration;

use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::ControlClient;
use ebonyjunction::generated::registry_server::{Registry, RegistryServer};
use ebonyjunction::generated::{
    ClaimReply, ClaimRequest, HeartbeatReply, HeartbeatRequest, SettleReply, SettleRequest,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// Server at the address of a replica that does not offer the service, such as a node that has got the address.
async fn start_stranger() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tonic::transport::Server::builder().add_routes(tonic::service::Routes::default());
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    address
}

/// Replica that answers each heartbeat after a delay, either with an answer or with an error.
#[derive(Debug, Clone, Copy)]
struct SlowReplica {
    delay: Duration,
    is_sound: bool,
}

impl SlowReplica {
    async fn start(self) -> SocketAddr {
        self.serve(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    fn serve(self, listener: TcpListener) -> SocketAddr {
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

fn token() -> MeshToken {
    MeshToken::try_from("0123456789abcdef").unwrap()
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
    // Several clients, because each begins with a random replica.
    for _ in 0..6 {
        let client = ControlClient::new(addresses.clone(), token());
        let reply = client.heartbeat(HeartbeatRequest::default()).await;
        assert_eq!(reply.unwrap().address, addresses[1]);
    }
}

// Guards against connection attempts that are given up while packets wait at a busy link: no replica could be reached until
// the pressure ended.
#[tokio::test]
async fn heartbeat_slow_connection() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    // Two connections fill the queue of the listener, so that the next one is established only at its second attempt, a
    // second after the first.
    let waiting = [
        TcpStream::connect(address).await.unwrap(),
        TcpStream::connect(address).await.unwrap(),
    ];
    let replica = SlowReplica {
        delay: Duration::ZERO,
        is_sound: true,
    };
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        replica.serve(listener);
    });
    let client = ControlClient::new(vec![address], token());
    let reply = client.heartbeat(HeartbeatRequest::default()).await;
    assert_eq!(reply.unwrap().address, address);
    drop(waiting);
}

// Guards against a replica that does not answer holding up a node whose other replicas answer late.
#[tokio::test]
async fn heartbeat_beside_silent_replica() {
    let silent = SlowReplica {
        delay: Duration::from_mins(1),
        is_sound: true,
    };
    let late = SlowReplica {
        delay: Duration::from_millis(1_200),
        is_sound: true,
    };
    let addresses = vec![silent.start().await, late.start().await];
    for _ in 0..4 {
        let client = ControlClient::new(addresses.clone(), token());
        let reply = client.heartbeat(HeartbeatRequest::default()).await;
        assert_eq!(reply.unwrap().address, addresses[1]);
    }
}

// Guards against a node that stays at an address which no longer belongs to a replica: what answers there refuses each
// heartbeat for good, and the node got no routes.
#[tokio::test]
async fn heartbeat_after_refusal_by_stranger() {
    let replica = SlowReplica {
        delay: Duration::ZERO,
        is_sound: true,
    };
    let addresses = vec![start_stranger().await, replica.start().await];
    for _ in 0..6 {
        let client = ControlClient::new(addresses.clone(), token());
        // The first heartbeat may reach the stranger.
        let _ = client.heartbeat(HeartbeatRequest::default()).await;
        let reply = client.heartbeat(HeartbeatRequest::default()).await;
        assert_eq!(reply.unwrap().address, addresses[1]);
    }
}
