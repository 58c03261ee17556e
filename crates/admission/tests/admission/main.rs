//! Randomised runs of admission against a small model of a target, in virtual time.

mod cold;
mod overload;
mod sim;
mod units;
