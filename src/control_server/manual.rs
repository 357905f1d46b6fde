//! A replica without a listener and a thread of its own, for programs that run several replicas on one runtime.

use std::sync::mpsc::Receiver;

use cadence::StatsdClient;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_stream::Stream;
use tokio_util::sync::CancellationToken;
use tonic::transport::server::Connected;

use crate::config::{ControlConfig, MeshToken};
use crate::consensus::ReplicaRole;
use crate::environment::ProcessEnvironment;
use crate::error::Result;
use crate::storage::LogStore;

use super::relay::MeshService;
use super::replica::ReplicaThread;
use super::requests::ReplicaInput;
use super::route_port::RouteHandle;
use super::server::{ReplicaWiring, serve};

/// Replica that works only when its owner gives it a turn.
#[derive(Debug)]
pub struct ManualReplica {
    thread: ReplicaThread,
    inputs: Receiver<ReplicaInput>,
}

/// Services of a [`ManualReplica`].
#[derive(Debug, Clone)]
pub struct ReplicaServices {
    service: MeshService,
    token: MeshToken,
}

impl ManualReplica {
    /// Creates a replica over its store.
    pub fn new(
        config: &ControlConfig,
        store: Box<dyn LogStore>,
        metrics: StatsdClient,
        environment: ProcessEnvironment,
    ) -> Result<(Self, ReplicaServices)> {
        let address = config.control_address;
        let wiring = ReplicaWiring::new(config, address, metrics, environment);
        let replica = Self {
            thread: wiring.builder.build(store)?,
            inputs: wiring.inputs,
        };
        let services = ReplicaServices {
            service: wiring.service,
            token: config.mesh_token.clone(),
        };
        Ok((replica, services))
    }

    /// Handles the calls that have arrived and the time that has passed. After an error the replica must be dropped; it
    /// starts again from its store.
    pub fn turn(&mut self) -> Result<()> {
        self.thread.turn(&self.inputs).map(drop)
    }

    /// Returns whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.thread.parts.core.role() == ReplicaRole::Leader
    }
}

impl ReplicaServices {
    /// Returns a handle that reads and changes the routes through the replica.
    pub fn routes(&self) -> RouteHandle {
        RouteHandle::new(self.service.clone())
    }

    /// Serves connections until the future is dropped.
    pub async fn serve<S, C>(self, incoming: S)
    where
        S: Stream<Item = std::io::Result<C>>,
        C: AsyncRead + AsyncWrite + Connected + Unpin + Send + 'static,
    {
        serve(incoming, self.service, self.token, CancellationToken::new()).await;
    }
}
