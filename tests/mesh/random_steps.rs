//! Random steps of clients, operators and failures against a simple oracle.
