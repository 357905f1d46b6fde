//! Connections to other replicas, for replication and for relayed calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
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

/// Channel with a number, so that a call that times out late cannot discard the channel that replaced its own.
type ReplicaLink = (u64, Channel);

#[derive(Debug, Default)]
struct ChannelMap {
    channels: BTreeMap<SocketAddr, ReplicaLink>,
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
        let address = parse_address(address)?;
        let link = self.link(address)?;
        if let Ok(result) = timeout(call_timeout, send(self.service(&link))).await {
            return result.map(Response::into_inner);
        }
        self.discard_channel(address, link.0);
        Err(unanswered_status(address, call_timeout))
    }

    /// Calls a replica, and again on a new connection if there is no answer within `retry_delay`; the first answer counts. A
    /// connection may have gone silent while new ones work, and only a call that gets no answer shows it.
    pub(super) async fn call_twice<T, F>(
        &self,
        address: &str,
        [retry_delay, call_timeout]: [Duration; 2],
        send: impl Fn(MeshChannel) -> F,
    ) -> Result<T, Status>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let replica = parse_address(address)?;
        let link = self.link(replica)?;
        let calling = async {
            let mut first = pin!(send(self.service(&link)));
            if let Ok(result) = timeout(retry_delay, first.as_mut()).await {
                return result;
            }
            self.discard_channel(replica, link.0);
            let mut second = pin!(self.call(address, call_timeout, &send));
            tokio::select! {
                result = first.as_mut() => {
                    let Ok(response) = result else {
                        return second.await.map(Response::new);
                    };
                    // The connection works, it is only slow.
                    self.lock().channels.insert(replica, link.clone());
                    Ok(response)
                }
                result = second.as_mut() => match result {
                    Ok(message) => Ok(Response::new(message)),
                    Err(_) => first.await,
                },
            }
        };
        let Ok(result) = timeout(call_timeout, calling).await else {
            return Err(unanswered_status(replica, call_timeout));
        };
        result.map(Response::into_inner)
    }

    fn service(&self, link: &ReplicaLink) -> MeshChannel {
        InterceptedService::new(link.1.clone(), self.interceptor.clone())
    }

    fn link(&self, address: SocketAddr) -> Result<ReplicaLink, Status> {
        let mut state = self.lock();
        let link = if let Some(link) = state.channels.get(&address) {
            link.clone()
        } else {
            let endpoint = mesh_endpoint(address, CONNECT_TIMEOUT)
                .map_err(|error| Status::internal(error.to_string()))?;
            state.last_number += 1;
            let link = (state.last_number, self.opener.open(&endpoint));
            state.channels.insert(address, link.clone());
            link
        };
        Ok(link)
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

fn parse_address(address: &str) -> Result<SocketAddr, Status> {
    let malformed = |_| Status::internal(format!("replica address {address:?} is malformed"));
    address.parse().map_err(malformed)
}

fn unanswered_status(address: SocketAddr, waited: Duration) -> Status {
    let millis = waited.as_millis();
    Status::unavailable(format!(
        "replica {address} gave no answer within {millis} ms"
    ))
}
