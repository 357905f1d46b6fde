//! Client of the control replicas.
