//! Allowance of attempts that remain for one request.

/// Divisor of the remaining attempts that gives the number that a sender keeps for its other calls.
const RESERVE_DIVISOR: u8 = 4;

/// Attempts that this hop may still spend on a request or pass on to the hops below.
///
/// The total number of sends below a hop never exceeds the initial number of attempts, because a share that is passed to a
/// child is either spent by the child, given back, or lost.
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

    /// Spends one attempt on a send and returns the share of attempts for the child, or `None` if none is left.
    pub fn spend(&mut self) -> Option<u8> {
        let left = self.remaining.checked_sub(1)?;
        let kept = left / RESERVE_DIVISOR;
        let share = left - kept;
        self.remaining = kept;
        self.lent += share;
        Some(share)
    }

    /// Takes back the attempts of its share that a child did not spend. The value is limited to the total of lent
    /// attempts; the caller also limits it to the share of that child.
    pub fn give_back(&mut self, unspent: u8) {
        let returned = unspent.min(self.lent);
        self.lent -= returned;
        self.remaining += returned;
    }

    /// Returns the number of attempts that remain at this hop.
    pub const fn remaining(&self) -> u8 {
        self.remaining
    }
}
