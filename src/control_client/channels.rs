//! Connections to the control replicas.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
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
    channels: Vec<Option<(u64, Channel)>>,
    last_number: u64,
}

/// Place of a channel in the table, and its number, so that a late call cannot give up the successor of its channel.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChannelRef {
    position: usize,
    number: u64,
}

impl ChannelTable {
    pub(super) fn new(addresses: Vec<SocketAddr>, token: &MeshToken) -> Self {
        let state = ChannelState {
            position: start_position(addresses.len()),
            channels: vec![None; addresses.len()],
            last_number: 0,
        };
        Self {
            addresses,
            interceptor: TokenInterceptor::new(token),
            state: Mutex::new(state),
        }
    }

    pub(super) fn address(&self, channel: ChannelRef) -> SocketAddr {
        self.addresses[channel.position]
    }

    /// Returns the replica in use, opening its channel if needed.
    pub(super) fn current(&self) -> Option<(ChannelRef, MeshChannel)> {
        let mut state = self.lock();
        let position = state.position;
        let address = *self.addresses.get(position)?;
        if state.channels.get(position)?.is_none() {
            let channel = mesh_endpoint(address).ok()?.connect_lazy();
            state.last_number += 1;
            state.channels[position] = Some((state.last_number, channel));
        }
        let (number, channel) = state.channels[position].clone()?;
        let service = InterceptedService::new(channel, self.interceptor.clone());
        Some((ChannelRef { position, number }, service))
    }

    /// Moves on to the next replica unless another call did so. A silent connection is given up, since TCP would
    /// otherwise hold it for minutes.
    pub(super) fn rotate(&self, channel: ChannelRef, is_silent: bool) {
        let mut state = self.lock();
        let ChannelRef { position, number } = channel;
        let held = state.channels[position].as_ref();
        if is_silent && held.is_some_and(|(current, _)| *current == number) {
            state.channels[position] = None;
        }
        if state.position == position {
            state.position = (position + 1) % self.addresses.len();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ChannelState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// Spreads the nodes over the replicas.
fn start_position(count: usize) -> usize {
    let random = uuid::Uuid::new_v4().as_u128() as usize;
    random.checked_rem(count).unwrap_or(0)
}
