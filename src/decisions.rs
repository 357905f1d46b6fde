//! Record of decisions by request.
