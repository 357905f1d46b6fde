//! Connections to other replicas, for replication and for relayed calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::timeout;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::{Response, Status};

use crate::config::MeshToken;
use crate::control_client::{MeshChannel, TokenInterceptor, mesh_endpoint};
use crate::environment::{ChannelOpener, ProcessEnvironment};

/// Time limit for connecting to another replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One lazily connected channel per replica address; clones share the channels.
#[derive(Debug, Clone)]
pub(super) struct ReplicaChannels {
    interceptor: TokenInterceptor,
    opener: Arc<dyn ChannelOpener>,
    state: Arc<Mutex<ChannelMap>>,
}

#[derive(Debug, Default)]
struct ChannelMap {
    // Each channel has a number, so that a call that times out late cannot discard the channel that replaced its own.
    channels: BTreeMap<SocketAddr, (u64, Channel)>,
    last_number: u64,
}

impl ReplicaChannels {
    pub(super) fn new(token: &MeshToken, environment: &ProcessEnvironment) -> Self {
        Self {
            interceptor: TokenInterceptor::new(token),
            opener: Arc::clone(&environment.opener),
            state: Arc::default(),
        }
    }

    /// Calls a replica with a timeout. On a timeout its channel is discarded, since TCP keeps a connection open for
    /// minutes when the network drops its packets.
    pub(super) async fn call<T, F>(
        &self,
        address: &str,
        call_timeout: Duration,
        send: impl FnOnce(MeshChannel) -> F,
    ) -> Result<T, Status>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| Status::internal(format!("replica address {address:?} is malformed")))?;
        let (number, channel) = self.channel(address)?;
        if let Ok(result) = timeout(call_timeout, send(channel)).await {
            return result.map(Response::into_inner);
        }
        self.discard_channel(address, number);
        let millis = call_timeout.as_millis();
        Err(Status::unavailable(format!(
            "replica {address} gave no answer within {millis} ms"
        )))
    }

    fn channel(&self, address: SocketAddr) -> Result<(u64, MeshChannel), Status> {
        let mut state = self.lock();
        let (number, channel) = if let Some(link) = state.channels.get(&address) {
            link.clone()
        } else {
            let endpoint = mesh_endpoint(address, CONNECT_TIMEOUT)
                .map_err(|error| Status::internal(error.to_string()))?;
            state.last_number += 1;
            let link = (state.last_number, self.opener.open(&endpoint));
            state.channels.insert(address, link.clone());
            link
        };
        let service = InterceptedService::new(channel, self.interceptor.clone());
        Ok((number, service))
    }

    fn discard_channel(&self, address: SocketAddr, number: u64) {
        let mut state = self.lock();
        let current = state.channels.get(&address);
        if current.is_some_and(|(current, _)| *current == number) {
            state.channels.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ChannelMap> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
