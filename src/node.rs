//! Assembly and life cycle of a node.
