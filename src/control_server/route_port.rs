//! Access to the routes for programs that run a replica in their own process.

use tonic::{Request, Response, Status};

use crate::error::{MeshError, Result};
use crate::generated::operator_server::Operator;
use crate::generated::{
    ApplyRoutesReply, ApplyRoutesRequest, RouteSet, ShowRequest, ShowRoutesReply,
};

use super::relay::MeshService;

/// Reads and changes the routes through a replica in this process. The replica relays the calls to the leader.
#[derive(Debug, Clone)]
pub struct RouteHandle {
    service: MeshService,
}

impl RouteHandle {
    pub(super) fn new(service: MeshService) -> Self {
        Self { service }
    }

    /// Proposes routes that replace `base_version`. An accepted document that is sent again is accepted again. After an
    /// error other than one for an invalid value, the change may or may not have been accepted.
    pub async fn apply(&self, base_version: u64, routes: RouteSet) -> Result<ApplyRoutesReply> {
        let request = ApplyRoutesRequest {
            base_version,
            routes: Some(routes),
            relayed: false,
        };
        let reply = self.service.apply_routes(Request::new(request)).await;
        reply.map(Response::into_inner).map_err(control_unavailable)
    }

    /// Returns the current routes; fails if no quorum confirms that they are the newest.
    pub async fn show(&self) -> Result<ShowRoutesReply> {
        let request = Request::new(ShowRequest { relayed: false });
        let reply = self.service.show_routes(request).await;
        reply.map(Response::into_inner).map_err(control_unavailable)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as the function of map_err"
)]
fn control_unavailable(status: Status) -> MeshError {
    MeshError::ControlUnavailable(status.message().to_owned())
}
