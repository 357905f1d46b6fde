//! Connections to the control replicas.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

use crate::config::MeshToken;
use crate::error::{MeshError, Result};

use super::MESH_TOKEN_KEY;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Channel that adds the mesh token to each request.
pub(crate) type MeshChannel = InterceptedService<Channel, TokenInterceptor>;

/// Adds the mesh token to the metadata of each request.
#[derive(Debug, Clone)]
pub(crate) struct TokenInterceptor {
    token: Option<MetadataValue<Ascii>>,
}

impl TokenInterceptor {
    /// Prepares the metadata value of a token.
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

/// Returns the endpoint of a replica; connecting is bounded.
pub(crate) fn mesh_endpoint(address: SocketAddr) -> Result<Endpoint> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| MeshError::invalid("control address", error.to_string()))?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true))
}

/// Returns whether another replica would give the same answer.
pub(super) fn is_permanent(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unauthenticated | Code::InvalidArgument | Code::Unimplemented | Code::OutOfRange
    )
}

/// One lazily opened channel per replica, and the replica in use.
#[derive(Debug)]
pub(super) struct ChannelTable {
    addresses: Vec<SocketAddr>,
    interceptor: TokenInterceptor,
    state: Mutex<ChannelState>,
}

#[derive(Debug)]
struct ChannelState {
    position: usize,
    channels: Vec<Option<Channel>>,
}

impl ChannelTable {
    pub(super) fn new(addresses: Vec<SocketAddr>, token: &MeshToken) -> Self {
        let state = ChannelState {
            position: start_position(addresses.len()),
            channels: vec![None; addresses.len()],
        };
        Self {
            addresses,
            interceptor: TokenInterceptor::new(token),
            state: Mutex::new(state),
        }
    }

    pub(super) fn address(&self, position: usize) -> SocketAddr {
        self.addresses[position]
    }

    /// Returns the replica in use, opening its channel if needed.
    pub(super) fn current(&self) -> Option<(usize, MeshChannel)> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let position = state.position;
        let address = *self.addresses.get(position)?;
        let slot = state.channels.get_mut(position)?;
        if slot.is_none() {
            *slot = Some(mesh_endpoint(address).ok()?.connect_lazy());
        }
        let channel = slot.clone()?;
        let service = InterceptedService::new(channel, self.interceptor.clone());
        Some((position, service))
    }

    /// Moves on to the next replica unless another call did so. A silent connection is given up, since TCP would
    /// otherwise hold it for minutes.
    pub(super) fn rotate(&self, position: usize, is_silent: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if is_silent && let Some(slot) = state.channels.get_mut(position) {
            *slot = None;
        }
        if state.position == position {
            state.position = (position + 1) % self.addresses.len();
        }
    }
}

// Spreads the nodes over the replicas.
fn start_position(count: usize) -> usize {
    let random = uuid::Uuid::new_v4().as_u128() as usize;
    random.checked_rem(count).unwrap_or(0)
}
