//! HTTP servers and clients of a node.
