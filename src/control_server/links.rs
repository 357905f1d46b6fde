//! Connections to other replicas, for replication and for relayed calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::timeout;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::{Response, Status};

use crate::config::MeshToken;
use crate::control_client::{MeshChannel, TokenInterceptor, mesh_endpoint};

/// One lazily opened channel per address; clones share them.
#[derive(Debug, Clone)]
pub(super) struct LinkTable {
    interceptor: TokenInterceptor,
    channels: Arc<Mutex<BTreeMap<SocketAddr, Channel>>>,
}

impl LinkTable {
    pub(super) fn new(token: &MeshToken) -> Self {
        Self {
            interceptor: TokenInterceptor::new(token),
            channels: Arc::default(),
        }
    }

    /// Calls a replica within the bound. A connection without an answer is given up, since TCP would hold it for
    /// minutes after a silent cut.
    pub(super) async fn call<T, F>(
        &self,
        address: &str,
        bound: Duration,
        send: impl FnOnce(MeshChannel) -> F,
    ) -> Result<T, Status>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| Status::internal(format!("replica address {address:?} is malformed")))?;
        let channel = self.channel(address)?;
        if let Ok(result) = timeout(bound, send(channel)).await {
            return result.map(Response::into_inner);
        }
        self.lock().remove(&address);
        let millis = bound.as_millis();
        Err(Status::unavailable(format!(
            "replica {address} gave no answer within {millis} ms"
        )))
    }

    fn channel(&self, address: SocketAddr) -> Result<MeshChannel, Status> {
        let mut channels = self.lock();
        let channel = if let Some(channel) = channels.get(&address) {
            channel.clone()
        } else {
            let endpoint =
                mesh_endpoint(address).map_err(|error| Status::internal(error.to_string()))?;
            let channel = endpoint.connect_lazy();
            channels.insert(address, channel.clone());
            channel
        };
        Ok(InterceptedService::new(channel, self.interceptor.clone()))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
