//! Limit on the requests per second that a target accepts, as the target itself names it.

use std::fmt;
use std::time::Duration;

use crate::error::MeshError;
use crate::types::TickTime;

/// Longest text of a rate.
const MAX_TEXT_BYTES: usize = 64;
/// Rate beyond which a limit has no effect.
const MAX_PER_S: f64 = 1e9;
/// Least rate at which a limit admits requests, whatever the target names. Only the answer to a request shows that a limit of
/// zero has been raised.
const MIN_PER_S: f64 = 0.2;
/// Time for which unused requests are carried over.
const CARRY_OVER: Duration = Duration::from_millis(500);
/// Bound on an expected wait.
const MAX_WAIT_S: f64 = 600.0;

/// Number of requests per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the number of requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the lower of two rates.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = MeshError;

    /// Reads a decimal number without sign or exponent.
    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let text = text.trim();
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = text.parse().ok();
        let number = number.filter(|_| is_decimal && text.len() <= MAX_TEXT_BYTES);
        let number: f64 =
            number.ok_or_else(|| MeshError::invalid("rate", "must be a decimal number"))?;
        Ok(Self(number.min(MAX_PER_S)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Token bucket that keeps the requests to a target within its limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestLimit {
    rate: RequestRate,
    tokens: f64,
    updated_at: TickTime,
}

impl RequestLimit {
    /// Creates a limit without tokens, because the requests before it were not counted.
    pub(super) fn new(now: TickTime, rate: RequestRate) -> Self {
        Self {
            rate,
            tokens: 0.0,
            updated_at: now,
        }
    }

    pub(super) fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate. Tokens beyond what the new rate carries over are lost.
    pub(super) fn set_rate(&mut self, now: TickTime, rate: RequestRate) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    pub(super) fn has_token(&self, now: TickTime) -> bool {
        self.tokens_at(now) >= 1.0
    }

    pub(super) fn take(&mut self, now: TickTime) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the time until the given number of requests have got a token.
    pub(super) fn time_until(&self, now: TickTime, requests: usize) -> Duration {
        let missing = requests as f64 - self.tokens_at(now);
        let wait_s = (missing / self.per_second()).clamp(0.0, MAX_WAIT_S);
        Duration::from_secs_f64(wait_s)
    }

    fn per_second(&self) -> f64 {
        self.rate.0.max(MIN_PER_S)
    }

    fn capacity(&self) -> f64 {
        (self.per_second() * CARRY_OVER.as_secs_f64()).max(1.0)
    }

    fn tokens_at(&self, now: TickTime) -> f64 {
        let gained = (now - self.updated_at).as_secs_f64() * self.per_second();
        (self.tokens + gained).min(self.capacity())
    }
}
