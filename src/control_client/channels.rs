//! Channels to the control replicas, and the selection of the replica in use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

use crate::config::MeshToken;
use crate::environment::{ChannelOpener, ProcessEnvironment};
use crate::error::{MeshError, Result};

use super::MESH_TOKEN_KEY;

/// Time limit for connecting to a replica. While a connection takes long, another replica is asked besides.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Channel that adds the mesh token to each request.
pub(crate) type MeshChannel = InterceptedService<Channel, TokenInterceptor>;

/// Adds the mesh token to the metadata of each request.
#[derive(Debug, Clone)]
pub(crate) struct TokenInterceptor {
    token: Option<MetadataValue<Ascii>>,
}

impl TokenInterceptor {
    /// Creates an interceptor for a token. A token that is not valid as a metadata value is not sent.
    pub(crate) fn new(token: &MeshToken) -> Self {
        let token = MetadataValue::try_from(token.as_str()).ok();
        Self { token }
    }
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> std::result::Result<Request<()>, Status> {
        if let Some(token) = &self.token {
            let _ = request.metadata_mut().insert(MESH_TOKEN_KEY, token.clone());
        }
        Ok(request)
    }
}

/// Returns the endpoint of a replica.
pub(crate) fn mesh_endpoint(address: SocketAddr, connect_timeout: Duration) -> Result<Endpoint> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| MeshError::invalid("control address", error.to_string()))?;
    Ok(endpoint.connect_timeout(connect_timeout).tcp_nodelay(true))
}

/// Returns whether the call would probably fail in the same way at every replica. A server that does not offer the service is no
/// replica: the address may have passed to another process.
pub(super) fn is_permanent_failure(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unauthenticated | Code::InvalidArgument | Code::OutOfRange
    )
}

/// One lazily connected channel per replica, and the replica in use.
#[derive(Debug)]
pub(super) struct ChannelTable {
    interceptor: TokenInterceptor,
    opener: Arc<dyn ChannelOpener>,
    state: Mutex<ChannelState>,
}

#[derive(Debug)]
struct ChannelState {
    // Addresses from the settings; they stay in the table regardless of what the replicas report.
    configured: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    // Position in `addresses` of the replica in use.
    selected: usize,
    channels: BTreeMap<SocketAddr, (u64, Channel)>,
    last_number: u64,
    rng: SmallRng,
}

/// Channel of a replica. The number prevents a call that times out late from discarding the channel that replaced its own.
#[derive(Debug, Clone)]
pub(super) struct ReplicaChannel {
    pub(super) address: SocketAddr,
    pub(super) number: u64,
    channel: Channel,
}

impl ChannelTable {
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
        token: &MeshToken,
        environment: &ProcessEnvironment,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(environment.seed);
        let state = ChannelState {
            selected: random_position(&mut rng, addresses.len()),
            rng,
            configured: addresses.clone(),
            addresses,
            channels: BTreeMap::new(),
            last_number: 0,
        };
        Self {
            interceptor: TokenInterceptor::new(token),
            opener: Arc::clone(&environment.opener),
            state: Mutex::new(state),
        }
    }

    /// Replaces the configured addresses. Earlier addresses stay in use until the next report.
    pub(super) fn configure(&self, addresses: Vec<SocketAddr>) {
        let mut state = self.lock();
        state.configured = addresses;
        let known = state.addresses.clone();
        state.merge_reported(&known);
    }

    /// Replaces the addresses from earlier reports by the newly reported ones; configured addresses stay.
    pub(super) fn merge_reported(&self, reported: &[SocketAddr]) {
        if !reported.is_empty() {
            self.lock().merge_reported(reported);
        }
    }

    /// Returns the channel of the replica in use, and creates it if needed.
    pub(super) fn current(&self) -> Option<ReplicaChannel> {
        let mut state = self.lock();
        let address = *state.addresses.get(state.selected)?;
        if !state.channels.contains_key(&address) {
            let endpoint = mesh_endpoint(address, CONNECT_TIMEOUT).ok()?;
            let channel = self.opener.open(&endpoint);
            state.last_number += 1;
            let number = state.last_number;
            state.channels.insert(address, (number, channel));
        }
        let (number, channel) = state.channels.get(&address)?.clone();
        Some(ReplicaChannel {
            address,
            number,
            channel,
        })
    }

    /// Returns the service that calls use.
    pub(super) fn service(&self, channel: &ReplicaChannel) -> MeshChannel {
        InterceptedService::new(channel.channel.clone(), self.interceptor.clone())
    }

    /// Selects the next replica unless another call has done so. A channel without an answer is discarded, so that later
    /// calls use a new connection: TCP keeps one open for minutes although its packets are lost. Calls that are pending
    /// on it are not affected.
    pub(super) fn rotate(&self, channel: &ReplicaChannel, is_unanswered: bool) {
        let mut state = self.lock();
        let held = state.channels.get(&channel.address);
        if is_unanswered && held.is_some_and(|(current, _)| *current == channel.number) {
            state.channels.remove(&channel.address);
        }
        if state.addresses.get(state.selected) == Some(&channel.address) {
            state.selected = (state.selected + 1) % state.addresses.len();
        }
    }

    /// Selects the replica that has answered, and the channel on which it has.
    pub(super) fn select(&self, channel: &ReplicaChannel) {
        let mut state = self.lock();
        let mut addresses = state.addresses.iter();
        let Some(position) = addresses.position(|listed| *listed == channel.address) else {
            return;
        };
        state.selected = position;
        let held = (channel.number, channel.channel.clone());
        state.channels.insert(channel.address, held);
    }

    fn lock(&self) -> MutexGuard<'_, ChannelState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChannelState {
    fn merge_reported(&mut self, reported: &[SocketAddr]) {
        let listed: BTreeSet<SocketAddr> =
            self.configured.iter().chain(reported).copied().collect();
        if self.addresses.iter().copied().collect::<BTreeSet<_>>() == listed {
            return;
        }
        let in_use = self.addresses.get(self.selected).copied();
        self.channels.retain(|address, _| listed.contains(address));
        self.addresses = listed.into_iter().collect();
        let position = self.addresses.iter().position(|at| Some(*at) == in_use);
        self.selected =
            position.unwrap_or_else(|| random_position(&mut self.rng, self.addresses.len()));
    }
}

// Selects a random first replica, which distributes the nodes over the replicas.
fn random_position(rng: &mut SmallRng, count: usize) -> usize {
    let random: u64 = rng.random();
    (random as usize).checked_rem(count).unwrap_or(0)
}
