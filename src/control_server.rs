//! gRPC services of a control replica.
