//! Attempts that one request may still spend.

/// Part of the remaining attempts that a sender keeps back for its other calls: one in this many.
const KEPT_DIVISOR: u8 = 4;

/// Attempts that this hop may still spend on a request or pass on to the hops below.
///
/// The total of sends below a hop never exceeds the attempts it was created with, because a share is either spent by
/// the child, given back, or lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptAllowance {
    remaining: u8,
    lent: u8,
}

impl AttemptAllowance {
    /// Creates an allowance of the given number of attempts.
    pub const fn new(attempts: u8) -> Self {
        Self {
            remaining: attempts,
            lent: 0,
        }
    }

    /// Spends one attempt on a send and returns the share of the child, or `None` if nothing is left.
    pub fn spend(&mut self) -> Option<u8> {
        let left = self.remaining.checked_sub(1)?;
        let kept = left / KEPT_DIVISOR;
        let share = left - kept;
        self.remaining = kept;
        self.lent += share;
        Some(share)
    }

    /// Takes back what a child did not spend of its share. A child cannot return more than is lent out; the caller
    /// also bounds the value by the share of that child.
    pub fn give_back(&mut self, unspent: u8) {
        let returned = unspent.min(self.lent);
        self.lent -= returned;
        self.remaining += returned;
    }

    /// Returns the attempts that are left at this hop.
    pub const fn remaining(&self) -> u8 {
        self.remaining
    }
}
